//! Orders to instances.

use crate::{InstanceName, NodeName, ServiceName};

/// Identifies the node that gives an order, and fences off earlier owners. Each instance keeps
/// track of the highest fencing token by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderToken {
    /// The node that gives the order.
    pub holder: NodeName,
    /// Fencing token.
    pub fence: u64,
}

/// An order to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceOrder {
    /// Move to another pool.
    Move {
        /// The instance.
        instance: InstanceName,
        /// Its new pool.
        pool: ServiceName,
    },
    /// Undergo maintenance.
    Maintain {
        /// The instance.
        instance: InstanceName,
        /// Number of the maintenance wave that the instance belongs to.
        wave: u64,
    },
}

/// Outcome of an order to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceOutcome {
    /// It is being carried out, or was carried out before.
    Done,
    /// The instance has seen a higher fencing token.
    Fence,
    /// The instance is not up, or its worker is about to leave.
    Busy,
    /// The instance does not belong to that wave.
    OtherWave,
    /// The instance does not exist, or the pool is for other kinds of instances.
    Invalid,
    /// It was refused with this HTTP status and not carried out; it may be repeated later.
    Refused(u16),
    /// The outcome is unknown: it may be carried out, now or later.
    Unknown,
}
