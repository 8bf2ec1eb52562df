//! Pools of instances.

use serde::{Deserialize, Serialize};

use crate::PoolId;

/// A pool of instances that serve the same services.
///
/// Each instance names its pool, so no instance can be in two pools.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool.
    pub id: PoolId,
    /// Whether instances may be moved from this pool to pools that lack capacity.
    #[serde(default)]
    pub spare: bool,
}
