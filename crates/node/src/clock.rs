//! The node's clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactuswheel_model::Time;
use nix::time::{ClockId, clock_gettime};

/// The node's clocks.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock;

impl Clock {
    /// A steady clock that counts the time for which the machine was suspended.
    ///
    /// Failure: a machine sleeps for seconds, its ordinary steady clock stands still, and the
    /// process goes on with a configuration or an ownership that ran out long ago.
    pub fn now(self) -> Time {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
        // The clock is part of every kernel that the programs run on.
        Time::default().after(now.unwrap_or_default())
    }

    /// Milliseconds since 1970; may be off, and may jump.
    pub fn wall(self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.unwrap_or_default().as_millis() as u64
    }
}
