//! The append-only log.

use std::fmt;
use std::time::Duration;

use cactuswheel_model::Offset;

use crate::{Appended, Batch, LogError};

/// A stream of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stream {
    /// Proposals in the order that settles all races.
    Fleet,
    /// Snapshots of the fold.
    Snapshots,
    /// What workers report of their tasks; the platform writes it.
    Tasks,
}

/// An append-only log with offsets.
pub trait Log: Send + Sync + 'static {
    /// Appends `bodies` next to each other.
    ///
    /// On [`LogError::Unknown`] they may have been appended.
    fn append(
        &self,
        stream: Stream,
        bodies: Vec<String>,
    ) -> impl Future<Output = Result<Appended, LogError>> + Send;

    /// Reads up to `max` records from `from` on, waiting up to `wait` for the first.
    ///
    /// With `max` 0 it only tells which offsets the stream keeps.
    fn read(
        &self,
        stream: Stream,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, LogError>> + Send;
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fleet => "fleet",
            Self::Snapshots => "snapshots",
            Self::Tasks => "tasks",
        })
    }
}
