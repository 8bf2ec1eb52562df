//! Orders that renew a lease and look.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Renews the lease of everything on a worker and looks at it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollOrder {
    /// When the lease expires, on the worker's clock; `None` leaves it as it is.
    pub expiry: Option<u64>,
    /// Fencing token.
    pub fence: u64,
    /// Ends up to this number are acknowledged: the worker forgets them.
    pub seen: u64,
    /// The life that they belong to, as its start in milliseconds since 1970. Another life has
    /// numbers of its own and must not be told to forget what nobody has seen.
    pub born: u64,
    /// How long the answer may wait for an end.
    pub wait: Duration,
}

/// Why a look shows nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum PollError {
    /// Another worker, or another life, is at this address.
    #[error("another worker is at this address")]
    OtherLife,
    /// A higher fencing token was seen.
    #[error("a higher fencing token was seen")]
    Fence,
    /// The worker refused to answer.
    #[error("refused, status {0}")]
    Refused(u16),
    /// No connection.
    #[error("cannot be reached")]
    NotSent,
    /// No whole answer.
    #[error("no answer: {0}")]
    Unknown(String),
}
