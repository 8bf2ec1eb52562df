//! Parameters of the scheduling and capacity policies.

use cactuswheel_capacity::PoolPolicy;
use cactuswheel_cell::WorkPolicy;
use cactuswheel_demand::HoldPolicy;
use serde::Deserialize;

/// Parameters of the scheduling and capacity policies; every field has a default.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policies {
    /// Sizing of pools.
    pub pools: PoolPolicy,
    /// Hold of the pools during an outage.
    pub hold: HoldPolicy,
    /// Ordering and placement of jobs.
    pub work: WorkPolicy,
}
