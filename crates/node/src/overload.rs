//! Waiting times of jobs at the owner, as known to a front end.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use cactuswheel_cell::{Slack, StartDelay};
use cactuswheel_model::Time;

/// Waiting times last reported by the owner.
///
/// Refused callers retry. If a front end forwarded each retry with its job spec, the specs would
/// fill the owner's link and delay its other traffic. So until the reported delay has passed, a
/// front end first sends the owner the job id only.
#[derive(Debug, Default)]
pub struct Overload(ArcSwapOption<(Time, StartDelay)>);

impl Overload {
    /// Records the delays that the owner reported.
    pub fn learn(&self, now: Time, delay: StartDelay) {
        self.0.store(Some(Arc::new((now, delay))));
    }

    /// How much too late a job with this slack would start; `None` if it would start in time as far
    /// as known.
    pub fn excess(&self, now: Time, slack: Slack) -> Option<Duration> {
        let known = self.0.load();
        let (received, delay) = known.as_deref()?;
        delay.after(now.since(*received)).excess(slack)
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
