//! Orders that renew the lease of a worker and poll its status.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Renews the lease of all runs on a worker and polls its status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollOrder {
    /// When the lease expires, in milliseconds on the worker's clock; `None` does not renew it.
    pub expiry: Option<u64>,
    /// Fencing token.
    pub fence: u64,
    /// Acknowledges the ends of runs up to this number; the worker removes them from its list.
    pub seen: u64,
    /// Incarnation of the worker that `expiry` and `seen` refer to, as its start in milliseconds
    /// since 1970. Another incarnation has a clock of its own and numbers its ends independently:
    /// it must neither renew the lease nor remove ends that no owner has received.
    pub born: u64,
    /// How long the worker may delay its answer while no run ends.
    pub wait: Duration,
}

/// Why a poll returned no status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum PollError {
    /// Another worker, or another incarnation of the worker, uses this address.
    #[error("another worker is at this address")]
    OtherLife,
    /// The worker has seen a higher fencing token.
    #[error("a higher fencing token was seen")]
    Fence,
    /// The worker refused the poll with this HTTP status.
    #[error("refused, status {0}")]
    Refused(u16),
    /// The worker could not be reached.
    #[error("cannot be reached")]
    NotSent,
    /// No complete and valid answer was received.
    #[error("no answer: {0}")]
    Unknown(String),
}
