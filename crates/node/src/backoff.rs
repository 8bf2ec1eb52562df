//! Exponential backoff after refused calls.

use std::time::Duration;

use cactuswheel_model::Time;

/// Delay after the first refusal.
const INITIAL_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of times that the delay is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// Exponential backoff after refused calls.
///
/// Without it, an owner would ask a busy store to record hundreds of orders to instances per
/// second. All would be refused, and each would briefly keep new runs off a
/// worker that its queue needs.
#[derive(Debug, Default)]
pub struct Backoff {
    until: Time,
    refused: u32,
}

impl Backoff {
    /// Records a refused call. `spread` is a random number from 0 to 1 that spreads the retries of
    /// different callers.
    pub fn refused(&mut self, now: Time, spread: f64) {
        // Calls that were in flight together count as one refusal.
        if now < self.until {
            return;
        }
        let pause = INITIAL_DELAY * (1 << self.refused.min(MAX_DOUBLINGS));
        self.until = now.after(pause.mul_f64(0.75 + spread / 2.0));
        self.refused += 1;
    }

    /// Records an accepted call, which resets the delay.
    pub fn accepted(&mut self) {
        self.refused = 0;
    }

    /// Whether the delay is over, so that calls may be sent.
    pub fn is_elapsed(&self, now: Time) -> bool {
        now >= self.until
    }
}
