//! Options for waiting until a change is in force everywhere.

use std::net::SocketAddr;

use bpaf::Bpaf;

use super::parse_addrs;

/// Time in which a change has to be in force everywhere, in seconds.
const DEFAULT_WITHIN_SECS: u64 = 12;

/// Whether and how to wait for the other entries.
#[derive(Debug, Clone, Bpaf)]
pub struct WaitOptions {
    /// Say at which entries the change is in force and which did not answer
    pub wait: bool,
    /// Ask these admin addresses, with commas between, instead of the entry's peers
    #[bpaf(argument::<String>("ADDR,.."), parse(parse_addrs), fallback(Vec::new()))]
    pub entries: Vec<SocketAddr>,
    /// Give up after so many seconds
    #[bpaf(argument("SECONDS"), fallback(DEFAULT_WITHIN_SECS))]
    pub within: u64,
}
