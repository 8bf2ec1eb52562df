//! Time limits that an entry holding units of teams' limits keeps to.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time limits, in milliseconds, from which peers derive when a silent entry certainly has no
/// running requests.
///
/// Every entry measures with its own monotonic clock. Two clocks are assumed to differ by less
/// than a twentieth over such an interval, and to keep running while a process is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// After this long without contact to the log or to a peer in its data centre, the entry
    /// starts no more requests.
    pub fence: u64,
    /// Maximum run time of a request, counted from when it was handed to an upstream.
    pub run: u64,
    /// After this long without contact to the log, the entry starts no more requests, even if
    /// its peers still renew it.
    ///
    /// Invariant: at least `fence`.
    pub cut: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            fence: 30_000,
            run: 60_000,
            cut: 4_500_000,
        }
    }
}

impl Timing {
    /// Time from when all peers have read a revocation until the revoked entry has no running
    /// requests, including the clock tolerance.
    pub fn quiet(self) -> Duration {
        add_tolerance(self.fence + self.run)
    }

    /// Time from a revocation until the revoked entry has no running requests if its peers cannot
    /// confirm that they stopped renewing it, including the clock tolerance.
    pub fn quiet_cut(self) -> Duration {
        add_tolerance(self.cut.max(self.fence) + self.run)
    }

    /// Time from the admission of a request with unknown outcome until it has certainly ended,
    /// including the clock tolerance.
    pub fn lost(self) -> Duration {
        add_tolerance(self.run)
    }
}

/// Adds a twentieth, the assumed clock tolerance.
fn add_tolerance(millis: u64) -> Duration {
    Duration::from_millis(millis + millis / 20)
}
