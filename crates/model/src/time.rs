//! Points in time as the decision crates see them.

use std::time::Duration;

use crate::number::number;

number! {
    /// A point on a monotonic clock, in milliseconds since an epoch that the caller fixes.
    ///
    /// Decision code never reads a clock: the edge passes the time in, tests make it up.
    Time(u64)
}

impl Time {
    /// This point moved later by `d`, rounded down to a millisecond.
    pub const fn after(self, d: Duration) -> Self {
        Self(self.0.saturating_add(d.as_millis() as u64))
    }

    /// Time that passed since `earlier`; zero if `earlier` lies ahead.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
