//! The roster service, which lists instances.

use crate::RosterChanges;

/// Error of a read of the roster.
#[derive(Debug, thiserror::Error)]
#[error("roster unavailable: {0}")]
pub struct RosterError(
    /// The cause.
    pub String,
);

/// The platform's list of instances, which may lag behind their actual state.
pub trait Roster: Send + Sync + 'static {
    /// Reads the changes since a version, or the whole roster if the version is unknown to the
    /// platform.
    ///
    /// The roster is long and rarely changes. Reading all 8,700 instances every time would use far
    /// more network bandwidth than a node's share.
    fn changes(
        &self,
        since: &str,
    ) -> impl Future<Output = Result<RosterChanges, RosterError>> + Send;
}
