//! The record of the cell's owner.

use std::net::SocketAddr;

use cactuswheel_work::NodeName;
use serde::{Deserialize, Serialize};

/// The ownership record in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Ownership {
    /// Increases with each claim.
    pub(crate) epoch: u64,
    /// The owner.
    pub(crate) node: NodeName,
    /// Distinguishes processes that ran under the same node name.
    pub(crate) life: u64,
    /// The owner's address for calls from other nodes.
    pub(crate) addr: SocketAddr,
    /// The node's capacity to run a cell, in cores.
    pub(crate) strength: f64,
    /// The node's monotonic clock when the record was sent, in milliseconds.
    pub(crate) clock: u64,
    /// The owner has released the ownership: any node may claim it at once.
    pub(crate) released: bool,
    /// No earlier owner can still be renewing leases.
    pub(crate) settled: bool,
    /// Time without a renewal after which another node may claim the ownership, in milliseconds.
    pub(crate) expiry: u64,
}
