//! Points in time for code that reads no clock.

use std::time::Duration;

use crate::number::number;

number! {
    /// A point on a monotonic clock, in milliseconds since an epoch that the caller chooses.
    ///
    /// Decision code never reads a clock: its callers pass the time in, and tests simulate it.
    Time(u64)
}

impl Time {
    /// The point in time `d` later; `d` is rounded down to a millisecond.
    pub const fn after(self, d: Duration) -> Self {
        Self(self.0.saturating_add(d.as_millis() as u64))
    }

    /// Duration since `earlier`; zero if `earlier` is later than this point.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
