//! Options for waiting until a change is in force everywhere.

use std::net::SocketAddr;

use bpaf::Bpaf;

use super::parse_addrs;

/// Default time for a change to come into force at every entry, in seconds.
const DEFAULT_WITHIN_SECS: u64 = 12;

/// Whether and how to wait until a change is in force at every entry.
#[derive(Debug, Clone, Bpaf)]
pub struct WaitOptions {
    /// Wait, then report where the change is in force and which entries did not answer
    pub wait: bool,
    /// Poll these admin addresses, separated by commas, instead of the entry's peers
    #[bpaf(argument::<String>("ADDR,.."), parse(parse_addrs), fallback(Vec::new()))]
    pub entries: Vec<SocketAddr>,
    /// Stop waiting after this many seconds
    #[bpaf(argument("SECONDS"), fallback(DEFAULT_WITHIN_SECS))]
    pub within: u64,
}
