//! Moves of instances between pools.

use serde::{Deserialize, Serialize};

use crate::{InstanceId, OperatorId, PoolId};

/// The complete list of wanted moves, which replaces the previous list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Moves {
    /// The moves in the order in which to start them; each instance at most once.
    pub moves: Vec<WantedMove>,
    /// Operator who submitted the list; set by the entry from the operator's key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<OperatorId>,
}

/// A wanted move of one instance to another pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WantedMove {
    /// The instance.
    pub instance: InstanceId,
    /// Pool that the instance leaves.
    pub from: PoolId,
    /// Pool that the instance joins.
    pub to: PoolId,
}
