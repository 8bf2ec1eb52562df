//! Waiting times of jobs at the owner, as known to a front end.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactuswheel_cell::{Slack, StartDelay};
use cactuswheel_model::{Map, Time};
use cactuswheel_work::{ServiceName, TeamName};

/// Waiting times last reported by the owner.
///
/// Refused callers retry. If a front end forwarded each retry with its job spec, the specs would
/// fill the owner's link and delay its other traffic. So until the reported delay has passed, a
/// front end first sends the owner the job id only.
///
/// All jobs wait for the same link, but for room only those of the same service and team. A wait for
/// room that held for all would refuse the jobs of other services while the owner does not answer.
#[derive(Debug, Default)]
pub struct Overload(Mutex<Known>);

#[derive(Debug, Default)]
struct Known {
    link: Wait,
    rooms: Map<(ServiceName, Option<TeamName>), Wait>,
}

/// A wait as it was reported at a time.
#[derive(Debug, Default, Clone, Copy)]
struct Wait {
    time: Duration,
    reported: Time,
}

impl Wait {
    /// What is left of the wait if no further jobs came.
    fn left(self, now: Time) -> Duration {
        self.time.saturating_sub(now.since(self.reported))
    }
}

impl Overload {
    fn known(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the delays that the owner reported for a service and a team.
    pub fn learn(
        &self,
        now: Time,
        service: &ServiceName,
        team: Option<&TeamName>,
        delay: StartDelay,
    ) {
        let wait = |time| Wait {
            time,
            reported: now,
        };
        let mut known = self.known();
        known.link = wait(delay.link);
        let key = (service.clone(), team.cloned());
        match delay.room.is_zero() {
            true => known.rooms.remove(&key),
            false => known.rooms.insert(key, wait(delay.room)),
        };
    }

    /// How much too late a job with this slack would start; `None` if it would start in time as far
    /// as known.
    pub fn excess(
        &self,
        now: Time,
        service: &ServiceName,
        team: Option<&TeamName>,
        slack: Slack,
    ) -> Option<Duration> {
        let known = self.known();
        let key = (service.clone(), team.cloned());
        let room = known.rooms.get(&key).copied().unwrap_or_default();
        let delay = StartDelay {
            link: known.link.left(now),
            room: room.left(now),
        };
        delay.excess(slack)
    }
}

/// How much too late a job would start if no owner has accepted jobs for `outage` and a takeover
/// usually takes `usual`. An outage longer than `usual` is assumed to go on for as long as it has
/// lasted.
///
/// Without this check, front ends would store every job while the cell has no owner. After an
/// outage of 10 seconds the next owner would have to read all of them before it starts anything,
/// would lose the ownership meanwhile, and hundreds of accepted jobs would never run.
pub fn outage_excess(outage: Duration, usual: Duration, slack: Slack) -> Option<Duration> {
    let excess = outage.saturating_sub(usual + slack.timely);
    (!excess.is_zero()).then_some(excess)
}
