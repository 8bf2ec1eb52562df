//! Pools of instances.

use serde::{Deserialize, Serialize};

use crate::PoolId;

/// A pool: instances that serve the same services.
///
/// Membership is an attribute of the instance, so no instance can be in two pools.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Its name.
    pub id: PoolId,
    /// Whether its instances may be moved to other pools to make room there.
    #[serde(default)]
    pub spare: bool,
}
