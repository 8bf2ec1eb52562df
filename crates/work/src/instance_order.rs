//! Orders to instances.

use crate::{InstanceName, NodeName, ServiceName};

/// Names an order's giver and shuts out earlier ones, for each instance by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderToken {
    /// Who gives it.
    pub holder: NodeName,
    /// Fencing token.
    pub fence: u64,
}

/// What an instance is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceOrder {
    /// Change to another pool.
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
        /// The wave that asks for it.
        wave: u64,
    },
}

/// What became of an order to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceOutcome {
    /// Under way, or done before.
    Done,
    /// A higher fencing token was seen.
    Fence,
    /// The instance is not up, or its worker leaves.
    Busy,
    /// It is not of that wave.
    OtherWave,
    /// No such instance, or the pool is one of other instances.
    Invalid,
    /// Nothing was done, for now.
    Refused(u16),
    /// It may be carried out, now or later.
    Unknown,
}
