//! Maintenance waves.

use serde::{Deserialize, Serialize};

use crate::number::number;
use crate::{DcId, OperatorId};

number! {
    /// Number of a maintenance wave of the fleet; the first wave has number 1.
    WaveNo(u64)
}

/// The complete wanted state of a maintenance wave.
///
/// The newest wave's number changes that wave; the number after it starts a new wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Wave {
    /// Number of the wave.
    pub number: WaveNo,
    /// Whether the wave is paused, so that none of its reboots may start.
    #[serde(default)]
    pub paused: bool,
    /// Data centres to process first, in this order; the others follow by name.
    #[serde(default)]
    pub order: Vec<DcId>,
    /// Operator who submitted this state; set by the entry from the operator's key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<OperatorId>,
    /// Start of the wave, in seconds since 1970 by the clock of the entry that proposed it.
    ///
    /// Used only to choose the time of the next wave; no rule depends on it.
    #[serde(default)]
    pub began: u64,
}
