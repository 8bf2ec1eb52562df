//! Faults of the platform.

use serde::{Deserialize, Serialize};

/// What is wrong with the platform just now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Every call is refused without effect.
    pub down: bool,
    /// Appends take effect but their answers are lost.
    pub deaf: bool,
    /// Every answer comes this much later than its effect, in milliseconds.
    pub slow: u64,
}
