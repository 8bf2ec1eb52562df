//! Health of a remote service, judged by whether calls to it are answered.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cactuswheel_model::Time;

/// Time without an answer after which the service counts as unreachable. A single lost answer or
/// refusal is not enough.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(300);

/// Health of a remote service such as the store, judged by whether calls to it are answered.
#[derive(Debug, Default)]
pub struct CallHealth {
    /// Time of the first failure since the last answered call, in milliseconds; 0 if the last call
    /// was answered.
    failing_since: AtomicU64,
}

impl CallHealth {
    /// Records a failed call; returns true if it is the first since the last answered call.
    pub fn failed(&self, now: Time) -> bool {
        let first =
            self.failing_since
                .compare_exchange(0, now.get(), Ordering::Relaxed, Ordering::Relaxed);
        first.is_ok()
    }

    /// Records an answered call; returns for how long calls had been failing, if they had.
    pub fn answered(&self, now: Time) -> Option<Duration> {
        let since = self.failing_since.swap(0, Ordering::Relaxed);
        (since != 0).then(|| now.since(Time::new(since)))
    }

    /// For how long calls have been failing; zero if the last call was answered.
    pub fn failing_for(&self, now: Time) -> Duration {
        match self.failing_since.load(Ordering::Relaxed) {
            0 => Duration::ZERO,
            since => now.since(Time::new(since)),
        }
    }

    /// Whether calls have been failing for so long that the service counts as unreachable, and
    /// other nodes can serve callers better.
    pub fn is_unreachable(&self, now: Time) -> bool {
        self.failing_for(now) > UNREACHABLE_AFTER
    }
}
