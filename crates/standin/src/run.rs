//! Record of a request that an upstream ran.

use serde::{Deserialize, Serialize};

/// A request that an upstream ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Request ID set by the caller or the entry.
    pub request: String,
    /// Team named by the entry.
    pub team: String,
    /// Number of requests of that team running when this one started, including this one.
    pub beside: u32,
}
