//! Whether calls of one kind are answered.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cactuswheel_model::Time;

/// Time without an answer after which whoever is called counts as out of reach: one lost answer or one
/// refusal says little.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(300);

/// Whether calls of one kind, such as those to the store, are answered.
#[derive(Debug, Default)]
pub struct CallHealth {
    /// When the first of the newest failures in a row was seen, in milliseconds; 0 if the last
    /// call was answered.
    failing_since: AtomicU64,
}

impl CallHealth {
    /// A call has failed; true if it is the first in a row.
    pub fn failed(&self, now: Time) -> bool {
        let first =
            self.failing_since
                .compare_exchange(0, now.get(), Ordering::Relaxed, Ordering::Relaxed);
        first.is_ok()
    }

    /// A call was answered; gives for how long calls had failed, if the last one had.
    pub fn answered(&self, now: Time) -> Option<Duration> {
        let since = self.failing_since.swap(0, Ordering::Relaxed);
        (since != 0).then(|| now.since(Time::new(since)))
    }

    /// For how long calls have failed; zero if the last one was answered.
    pub fn failing_for(&self, now: Time) -> Duration {
        match self.failing_since.load(Ordering::Relaxed) {
            0 => Duration::ZERO,
            since => now.since(Time::new(since)),
        }
    }

    /// Whether calls have failed for so long that callers are served better by other nodes.
    pub fn is_unreachable(&self, now: Time) -> bool {
        self.failing_for(now) > UNREACHABLE_AFTER
    }
}
