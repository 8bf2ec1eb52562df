//! How long ago something happened.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The last time of an event, kept without a lock.
#[derive(Debug)]
pub(crate) struct Ago {
    start: Instant,
    /// Milliseconds after `start`; 0 stands for the start itself.
    last: AtomicU64,
}

impl Default for Ago {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            last: AtomicU64::new(0),
        }
    }
}

impl Ago {
    /// It happens now.
    pub(crate) fn mark(&self) {
        let now = self.start.elapsed().as_millis() as u64;
        self.last.store(now, Ordering::Relaxed);
    }

    /// Time since it happened, or since the process started if it never did.
    pub(crate) fn age(&self) -> Duration {
        let last = Duration::from_millis(self.last.load(Ordering::Relaxed));
        self.start.elapsed().saturating_sub(last)
    }
}
