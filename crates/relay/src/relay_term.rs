//! Identity of a relay between two losses.

/// Identifies the time from when an owner takes a node as a relay until the relay is lost; a node
/// that is taken again has another term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayTerm(pub(crate) u64);
