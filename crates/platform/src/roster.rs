//! The roster of instances.

use crate::Sightings;

/// Why the roster could not be read.
#[derive(Debug, thiserror::Error)]
#[error("roster unavailable: {0}")]
pub struct RosterError(
    /// What happened.
    pub String,
);

/// The platform's lagging list of instances.
pub trait Roster: Send + Sync + 'static {
    /// Reads the whole list.
    fn list(&self) -> impl Future<Output = Result<Sightings, RosterError>> + Send;
}
