//! The roster of instances.

use crate::RosterChanges;

/// Why the roster could not be read.
#[derive(Debug, thiserror::Error)]
#[error("roster unavailable: {0}")]
pub struct RosterError(
    /// What happened.
    pub String,
);

/// The platform's lagging list of instances.
pub trait Roster: Send + Sync + 'static {
    /// Reads what changed since a version; the whole list if that is unknown.
    ///
    /// The list is long and seldom changes: read whole, 8,700 instances would cost a node far
    /// more than its part of the network.
    fn changes(
        &self,
        since: &str,
    ) -> impl Future<Output = Result<RosterChanges, RosterError>> + Send;
}
