//! Injected faults of the platform.

use serde::{Deserialize, Serialize};

/// Faults that the platform currently shows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Whether every call is refused without effect.
    pub down: bool,
    /// Whether appends take effect but answer with an error, as if the answer was lost.
    pub deaf: bool,
    /// Delay between the effect of a call and its answer, in milliseconds.
    pub slow: u64,
}
