//! Stand-in of worker control: drains, reboots and losses of instances, with a history of outages.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cactuswheel_model::{Incarnation, InstanceId, Offset};
use cactuswheel_platform::{Activity, Presence, RosterEntry, WorkerOrder, WorkerState};
use serde::{Deserialize, Serialize};

use crate::roster::Roster;

/// Behaviour of reboots.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RebootSettings {
    /// Duration of a reboot in milliseconds.
    pub millis: u64,
    /// Instances that do not come back after a reboot.
    pub stuck: BTreeSet<InstanceId>,
}

/// History record of an instance that went down or came back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outage {
    /// The instance.
    pub instance: InstanceId,
    /// The incarnation that went down, or the new one that came back.
    pub incarnation: Incarnation,
    /// Whether the instance went down, rather than came back.
    pub down: bool,
    /// Whether the outage was an ordered reboot, rather than a loss.
    pub planned: bool,
    /// Number of instances down because of reboots just after this event.
    pub rebooting: usize,
    /// Number of instances down because of losses just after this event.
    pub lost: usize,
    /// Number of requests running on the instance when it went down, if it reported one.
    pub running: Option<u32>,
}

/// In-memory worker control; workers that are up are in the roster.
#[derive(Debug, Default)]
pub(crate) struct WorkerControl {
    pub(crate) settings: RebootSettings,
    /// Instances that are down, with their last listing and the cause.
    down: BTreeMap<InstanceId, (RosterEntry, Cause)>,
    /// Fencing token of the last resume of each instance; orders with this or a lower token are
    /// refused.
    resumed: BTreeMap<InstanceId, Offset>,
    drained: BTreeMap<InstanceId, Offset>,
    pub(crate) history: Vec<Outage>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    Reboot,
    Loss,
}

impl Default for RebootSettings {
    fn default() -> Self {
        Self {
            millis: 1_000,
            stuck: BTreeSet::new(),
        }
    }
}

impl WorkerControl {
    /// Returns the state of an instance; `None` if it is unknown.
    pub(crate) fn state(&self, id: &InstanceId, roster: &Roster) -> Option<WorkerState> {
        let down = self.down.get(id).map(|(s, _)| (s, Activity::Down));
        let drained = self.drained.get(id).copied();
        let up = roster.get(id).map(|s| match drained {
            Some(fence) => (s, Activity::Draining(fence)),
            None => (s, Activity::Serving),
        });
        down.or(up).map(|(sighting, activity)| WorkerState {
            id: id.clone(),
            incarnation: sighting.incarnation,
            activity,
            running: None,
        })
    }

    /// Marks an instance as draining, so that it gets no new work.
    ///
    /// The roster still lists the instance as live: leaving the roster is final for an
    /// incarnation, whereas a drain can be cancelled.
    pub(crate) fn drain(
        &mut self,
        id: &InstanceId,
        order: WorkerOrder,
        roster: &Roster,
    ) -> Result<(), String> {
        self.check_order(id, order, roster)?;
        self.drained.insert(id.clone(), order.fence);
        Ok(())
    }

    /// Ends a drain, so that the instance gets work again.
    pub(crate) fn resume(
        &mut self,
        id: &InstanceId,
        order: WorkerOrder,
        roster: &Roster,
    ) -> Result<(), String> {
        self.check_order(id, order, roster)?;
        self.resumed.insert(id.clone(), order.fence);
        self.drained.remove(id);
        Ok(())
    }

    /// Takes an instance down; returns the time until it is back, or `None` if it stays down.
    ///
    /// The order only applies to the incarnation that it names. Otherwise an order delayed until
    /// after the reboot would take down the next incarnation.
    pub(crate) fn reboot(
        &mut self,
        id: &InstanceId,
        order: WorkerOrder,
        running: Option<u32>,
        roster: &mut Roster,
    ) -> Result<Option<Duration>, String> {
        self.check_order(id, order, roster)?;
        self.take_down(id, Cause::Reboot, running, roster);
        let returns = !self.settings.stuck.contains(id);
        Ok(returns.then_some(Duration::from_millis(self.settings.millis)))
    }

    /// Takes an instance down as an unplanned loss.
    pub(crate) fn mark_lost(&mut self, id: &InstanceId, roster: &mut Roster) {
        self.take_down(id, Cause::Loss, None, roster);
    }

    /// Brings an instance that is down back up with the next incarnation.
    pub(crate) fn restore(&mut self, id: &InstanceId, roster: &mut Roster) {
        let Some((mut sighting, cause)) = self.down.remove(id) else {
            return;
        };
        sighting.incarnation = Incarnation::new(sighting.incarnation.get() + 1);
        sighting.presence = Presence::Live;
        self.drained.remove(id);
        self.record(id, sighting.incarnation, cause, false, None);
        roster.insert(id.clone(), sighting);
    }

    fn check_order(
        &self,
        id: &InstanceId,
        order: WorkerOrder,
        roster: &Roster,
    ) -> Result<(), String> {
        let current = roster.get(id).map(|s| s.incarnation);
        if current != Some(order.incarnation) {
            return Err(format!("{id} is up in life {current:?}"));
        }
        if self.resumed.get(id).is_some_and(|f| *f >= order.fence) {
            return Err(format!("grant {} of {id} is over", order.fence));
        }
        Ok(())
    }

    fn take_down(
        &mut self,
        id: &InstanceId,
        cause: Cause,
        running: Option<u32>,
        roster: &mut Roster,
    ) {
        let Some(sighting) = roster.remove(id) else {
            return;
        };
        let old_incarnation = sighting.incarnation;
        self.down.insert(id.clone(), (sighting, cause));
        self.record(id, old_incarnation, cause, true, running);
    }

    fn record(
        &mut self,
        id: &InstanceId,
        incarnation: Incarnation,
        cause: Cause,
        down: bool,
        running: Option<u32>,
    ) {
        let count = |wanted: Cause| self.down.values().filter(|(_, w)| *w == wanted).count();
        let outage = Outage {
            instance: id.clone(),
            incarnation,
            down,
            planned: cause == Cause::Reboot,
            rebooting: count(Cause::Reboot),
            lost: count(Cause::Loss),
            running,
        };
        self.history.push(outage);
    }
}
