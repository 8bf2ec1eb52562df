//! Figures and switches of the node's decisions.

use cactuswheel_capacity::PoolPolicy;
use cactuswheel_cell::WorkPolicy;
use serde::Deserialize;

/// Figures and switches of the node's decisions; all have defaults.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policies {
    /// How pools grow and shrink.
    pub pools: PoolPolicy,
    /// How jobs are ordered and placed.
    pub work: WorkPolicy,
}
