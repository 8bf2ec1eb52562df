//! Times that a holder of units binds itself to.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Bounds, in milliseconds, after which a silent entry has surely nothing running.
///
/// Every entry measures with its own monotonic clock. Assumed of clocks: over one such span two
/// of them differ by less than a twentieth, and they go on while a process is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Without word from the log or a peer of its data centre for this long, the entry starts
    /// nothing more.
    pub fence: u64,
    /// Longest run of a request, counted from when it was handed to an upstream.
    pub run: u64,
    /// Without word from the log for this long, the entry starts nothing more whatever its
    /// peers say.
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
    /// Time after a revocation is read by all peers until the holder has nothing running,
    /// stretched by the clocks' tolerance.
    pub fn quiet(self) -> Duration {
        stretch(self.fence + self.run)
    }

    /// The same where peers of the holder cannot be asked.
    pub fn quiet_cut(self) -> Duration {
        stretch(self.cut.max(self.fence) + self.run)
    }

    /// Time after its admission until a request with unknown outcome has surely ended.
    pub fn lost(self) -> Duration {
        stretch(self.run)
    }
}

fn stretch(millis: u64) -> Duration {
    Duration::from_millis(millis + millis / 20)
}
