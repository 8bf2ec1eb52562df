//! Clocks of a node.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactuswheel_model::Time;
use nix::time::{ClockId, clock_gettime};

/// Clocks of a node.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock;

impl Clock {
    /// Monotonic time, including time during which the machine was suspended.
    ///
    /// The usual monotonic clock stops during a suspension. After a suspension of several seconds,
    /// the process would continue with a configuration or an ownership that expired long ago.
    pub fn now(self) -> Time {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
        // Every supported kernel has this clock, so the call does not fail.
        Time::default().after(now.unwrap_or_default())
    }

    /// Wall-clock time in milliseconds since 1970; may be wrong and may jump.
    pub fn wall(self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.unwrap_or_default().as_millis() as u64
    }
}
