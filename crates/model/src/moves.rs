//! Moves of instances between pools.

use serde::{Deserialize, Serialize};

use crate::{InstanceId, OperatorId, PoolId};

/// The whole list of moves that are wanted; it replaces the one before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Moves {
    /// The moves, those to start first first; no instance twice.
    pub moves: Vec<WantedMove>,
    /// Who put it so; set by the entry from the operator's key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<OperatorId>,
}

/// One instance to another pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WantedMove {
    /// The instance.
    pub instance: InstanceId,
    /// The pool that it leaves.
    pub from: PoolId,
    /// The pool that it joins.
    pub to: PoolId,
}
