//! Own addresses.

use std::net::SocketAddr;

use serde::Deserialize;

use super::addr;

/// Addresses that an entry listens on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    #[serde(deserialize_with = "addr::one")]
    pub callers: SocketAddr,
    /// For operators and for metrics.
    #[serde(deserialize_with = "addr::one")]
    pub admin: SocketAddr,
    /// For other entries.
    #[serde(deserialize_with = "addr::one")]
    pub peer: SocketAddr,
}
