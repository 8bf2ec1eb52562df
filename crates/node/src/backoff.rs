//! Pauses after calls that are turned away, each longer than the one before.

use std::time::Duration;

use cactuswheel_model::Time;

/// First pause.
const INITIAL_DELAY: Duration = Duration::from_millis(250);

/// Doublings of the pause at the most.
const MAX_DOUBLINGS: u32 = 3;

/// Pauses after calls that are turned away, each longer than the one before.
///
/// Failure: the store is busy, and the owner asks it to record hundreds of orders a second, all
/// refused; each closes a worker for a moment that its queue needs.
#[derive(Debug, Default)]
pub struct Backoff {
    until: Time,
    refused: u32,
}

impl Backoff {
    /// Calls were turned away; `spread` is drawn from 0 to 1, so that callers come back apart.
    pub fn refused(&mut self, now: Time, spread: f64) {
        // Those that were under way together count once.
        if now < self.until {
            return;
        }
        let pause = INITIAL_DELAY * (1 << self.refused.min(MAX_DOUBLINGS));
        self.until = now.after(pause.mul_f64(0.75 + spread / 2.0));
        self.refused += 1;
    }

    /// A call was taken.
    pub fn accepted(&mut self) {
        self.refused = 0;
    }

    /// Whether calls may go out.
    pub fn is_elapsed(&self, now: Time) -> bool {
        now >= self.until
    }
}
