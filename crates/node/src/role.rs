//! Whether a node owns the cell.

use cactuswheel_capacity::LastOwner;

/// Whether this node owns the cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// Another node owns the cell, or no node does.
    Idle,
    /// This node owns the cell.
    Owner {
        /// Epoch of the ownership.
        epoch: u64,
        /// Whether earlier owners had stopped renewing leases when this node claimed the ownership.
        alone: bool,
        /// The previous owner.
        before: Option<LastOwner>,
    },
}
