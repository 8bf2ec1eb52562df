//! What an upstream remembers of a request.

use serde::{Deserialize, Serialize};

/// A request that an upstream ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request's id, as the caller or the entry gave it.
    pub request: String,
    /// The team that the entry named.
    pub team: String,
    /// Requests of that team that ran at the same time, itself included.
    pub beside: u32,
}
