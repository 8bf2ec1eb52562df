//! Requests that wait for a slot of a pool.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactuswheel_model::{Map, PoolId, Refusal, Time};
use cactuswheel_routing::SlotQueue;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Longest time between two looks for a slot: what other entries free is not told here.
const LOOK: Duration = Duration::from_millis(20);

/// The queue of every pool.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    lines: Mutex<Map<PoolId, Arc<Line>>>,
    /// Requests in all queues; as long as there are none, a free slot costs no lock.
    waiting: AtomicU32,
}

/// The queue of one pool.
#[derive(Debug, Default)]
struct Line {
    queue: Mutex<SlotQueue>,
    freed: Notify,
}

/// A place in a queue; dropping it leaves the queue.
#[derive(Debug)]
pub(super) struct Place<'a> {
    slots: &'a Slots,
    line: Arc<Line>,
}

impl Slots {
    /// Whether nobody waits for a slot of `pool`.
    pub(super) fn is_empty(&self, pool: &PoolId) -> bool {
        self.waiting.load(Ordering::Acquire) == 0 || self.line(pool).queue().is_empty()
    }

    /// Joins the queue of `pool`, if a slot may come by `until`.
    pub(super) fn join(&self, pool: &PoolId, now: Time, until: Time) -> Result<Place<'_>, Refusal> {
        let line = self.line(pool);
        line.queue().join(now, until)?;
        self.waiting.fetch_add(1, Ordering::AcqRel);
        Ok(Place { slots: self, line })
    }

    /// Tells the first in the queue of `pool` that a slot became free.
    pub(super) fn freed(&self, pool: &PoolId, now: Time) {
        if self.waiting.load(Ordering::Acquire) == 0 {
            return;
        }
        let line = self.line(pool);
        line.queue().freed(now);
        line.freed.notify_one();
    }

    fn line(&self, pool: &PoolId) -> Arc<Line> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(line) = lines.get(pool) {
            return line.clone();
        }
        lines.entry(pool.clone()).or_default().clone()
    }
}

impl Line {
    fn queue(&self) -> MutexGuard<'_, SlotQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Place<'_> {
    /// Waits until a slot may be free.
    pub(super) async fn turn(&self) {
        // Too long without word is a reason to look as well.
        let _ = timeout(LOOK, self.line.freed.notified()).await;
    }

    /// How long one more would wait.
    pub(super) fn wait(&self) -> Duration {
        self.line.queue().wait()
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.line.queue().leave();
        self.slots.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
