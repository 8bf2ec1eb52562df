//! A node's part in the ownership.

use cactuswheel_capacity::LastOwner;

/// This node's part in the ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// Another node owns the cell, or none.
    Idle,
    /// This node owns it.
    Owner {
        /// The ownership's number.
        epoch: u64,
        /// No earlier owner was renewing leases any more when it was claimed.
        alone: bool,
        /// The owner before.
        before: Option<LastOwner>,
    },
}
