//! Positions from which later scheduling cycles go on through long queues.

use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{JobId, ServiceName};

use crate::rank::Rank;

/// Shortest time between two parts of a sweep; bounds the processor time that sweeps use.
const INTERVAL: Duration = Duration::from_millis(40);

/// Position in the queue of a service: the last job that was examined.
pub(crate) type Position = (Rank, JobId);

/// A sweep through the part of a service's queue that is behind its front.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sweep {
    /// Where the last cycle stopped at the front.
    pub(crate) front: Position,
    /// Where the next part of the sweep begins.
    pub(crate) last: Position,
    /// Whether room may have become free since the sweep began, so that another has to follow.
    pub(crate) again: bool,
}

/// The sweeps that are not complete, by service.
///
/// Every cycle begins at the front of a queue and stops after a bounded number of steps. Without a
/// sweep the jobs behind these steps would not be examined as long as the steps find no worker.
#[derive(Debug, Default)]
pub(crate) struct Sweeps {
    open: Map<ServiceName, Sweep>,
    /// When the next part may be examined.
    due: Time,
}

impl Sweeps {
    /// Notes that a cycle stopped at the front of a queue before its end.
    pub(crate) fn begin(&mut self, service: &ServiceName, front: Position) {
        let open = self.open.get(service);
        let sweep = Sweep {
            front,
            last: open.map_or(front, |s| s.last.max(front)),
            again: open.is_some(),
        };
        self.open.insert(service.clone(), sweep);
    }

    /// Notes where a part of a sweep stopped; `None` if it reached the end of the queue.
    pub(crate) fn advance(&mut self, service: &ServiceName, stopped: Option<Position>) {
        let Some(sweep) = self.open.get_mut(service) else {
            return;
        };
        match stopped {
            Some(last) => sweep.last = last,
            None if sweep.again => {
                sweep.last = sweep.front;
                sweep.again = false;
            }
            None => self.remove(service),
        }
    }

    /// Ends the sweep of a service.
    pub(crate) fn remove(&mut self, service: &ServiceName) {
        self.open.remove(service);
    }

    pub(crate) fn get(&self, service: &ServiceName) -> Option<Sweep> {
        self.open.get(service).copied()
    }

    /// Services with an open sweep.
    pub(crate) fn services(&self) -> Vec<ServiceName> {
        self.open.keys().cloned().collect()
    }

    /// When the next part of a sweep is due; `None` if no sweep is open.
    pub(crate) fn next(&self) -> Option<Time> {
        (!self.open.is_empty()).then_some(self.due)
    }

    /// Whether a part of the sweeps may be examined at `now`.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        self.due <= now
    }

    /// Records that a part of the sweeps was examined at `now`.
    pub(crate) fn record(&mut self, now: Time) {
        self.due = now.after(INTERVAL);
    }
}
