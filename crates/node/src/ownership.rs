//! The record of who owns the cell.

use std::net::SocketAddr;

use cactuswheel_work::NodeName;
use serde::{Deserialize, Serialize};

/// Who owns the cell, as it stands in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Ownership {
    /// Rises with each change of owners.
    pub(crate) epoch: u64,
    pub(crate) node: NodeName,
    /// Tells lives of one node apart.
    pub(crate) life: u64,
    pub(crate) addr: SocketAddr,
    /// How much of a cell's work the node can do, in cores.
    pub(crate) strength: f64,
    /// The node's steady clock in milliseconds when the record was sent.
    pub(crate) clock: u64,
    /// Given up: whoever wants it may take it at once.
    pub(crate) released: bool,
    /// No owner before this one can be renewing leases any more.
    pub(crate) settled: bool,
    /// Time without a renewal after which it may be claimed, in milliseconds.
    pub(crate) expiry: u64,
}
