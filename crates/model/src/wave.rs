//! Maintenance waves.

use serde::{Deserialize, Serialize};

use crate::number::number;
use crate::{DcId, OperatorId};

number! {
    /// Counts the maintenance waves of a fleet; the first is 1.
    WaveNo(u64)
}

/// The whole wanted state of a maintenance wave.
///
/// A number one higher than the newest starts a new wave; the newest number changes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Wave {
    /// Its number.
    pub number: WaveNo,
    /// Whether nothing of it may start.
    #[serde(default)]
    pub paused: bool,
    /// Data centres to go first, in this order; others follow by name.
    #[serde(default)]
    pub order: Vec<DcId>,
    /// Who put it so; set by the entry from the operator's key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<OperatorId>,
    /// When it began, in seconds since 1970 by the clock of the entry that proposed it.
    ///
    /// Only for the choice of the next wave's time; no rule depends on it.
    #[serde(default)]
    pub began: u64,
}
