//! Simulated workers and worker control.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuswheel_maintenance::{Activity, Order, OrderKind, RosterStatus, WorkerStatus};
use cactuswheel_model::{Incarnation, InstanceId, Map, Offset, Time};

/// Duration of a reboot.
pub const REBOOT: Duration = Duration::from_secs(4);

/// All workers, with their simulated worker control.
#[derive(Clone, Default)]
pub struct Workers {
    all: BTreeMap<InstanceId, Worker>,
    /// Instances that do not return from a reboot.
    pub stuck: Vec<InstanceId>,
}

#[derive(Clone)]
struct Worker {
    generation: u64,
    down: Option<Down>,
    drained: Option<Offset>,
    resumed: Option<Offset>,
    busy: Time,
}

#[derive(Clone)]
struct Down {
    planned: bool,
    until: Option<Time>,
}

impl Workers {
    pub fn add(&mut self, id: &InstanceId) {
        let worker = Worker {
            generation: 1,
            down: None,
            drained: None,
            resumed: None,
            busy: Time::default(),
        };
        self.all.insert(id.clone(), worker);
    }

    /// Brings back workers whose downtime has ended, in their next incarnation.
    pub fn advance(&mut self, now: Time) {
        for worker in self.all.values_mut() {
            let back = worker.down.as_ref().and_then(|d| d.until);
            if back.is_some_and(|at| at <= now) {
                worker.down = None;
                worker.drained = None;
                worker.generation += 1;
            }
        }
    }

    pub fn apply_order(&mut self, now: Time, order: &Order) {
        let stuck = self.stuck.contains(&order.instance);
        let worker = self.all.get_mut(&order.instance).unwrap();
        let superseded = worker.resumed.is_some_and(|f| f >= order.fence);
        if worker.down.is_some() || worker.generation != order.incarnation.get() || superseded {
            return;
        }
        match order.kind {
            OrderKind::Drain => worker.drained = Some(order.fence),
            OrderKind::Resume => {
                worker.resumed = Some(order.fence);
                worker.drained = None;
            }
            OrderKind::Reboot => {
                worker.down = Some(Down {
                    planned: true,
                    until: (!stuck).then(|| now.after(REBOOT)),
                });
            }
        }
    }

    /// Takes a worker down without a planned outage.
    pub fn take_down(&mut self, id: &InstanceId, until: Time) {
        let worker = self.all.get_mut(id).unwrap();
        let planned = worker.down.as_ref().is_some_and(|d| d.planned);
        worker.down = Some(Down {
            planned,
            until: Some(until),
        });
    }

    /// Keeps a worker busy until the given time.
    pub fn keep_busy(&mut self, id: &InstanceId, until: Time) {
        self.all.get_mut(id).unwrap().busy = until;
    }

    pub fn status(&self, now: Time, id: &InstanceId) -> WorkerStatus {
        let worker = &self.all[id];
        let activity = match (&worker.down, worker.drained) {
            (Some(_), _) => Activity::Down,
            (None, Some(fence)) => Activity::Draining(fence),
            (None, None) => Activity::Serving,
        };
        WorkerStatus {
            incarnation: Incarnation::new(worker.generation),
            activity,
            running: Some(u32::from(worker.busy > now)),
        }
    }

    pub fn roster(&self) -> Map<InstanceId, RosterStatus> {
        let up = self.all.iter().filter(|(_, w)| w.down.is_none());
        up.map(|(id, worker)| {
            let seen = RosterStatus {
                incarnation: Incarnation::new(worker.generation),
                live: true,
            };
            (id.clone(), seen)
        })
        .collect()
    }

    /// Workers that are down because of an ordered reboot.
    pub fn rebooting(&self) -> impl Iterator<Item = &InstanceId> {
        let down = |w: &Worker| w.down.as_ref().is_some_and(|d| d.planned);
        self.all
            .iter()
            .filter(move |(_, w)| down(w))
            .map(|(id, _)| id)
    }

    pub fn all_serve(&self) -> bool {
        self.all
            .values()
            .all(|w| w.down.is_none() && w.drained.is_none())
    }
}
