//! The append-only log service.

use std::fmt;
use std::time::Duration;

use cactuswheel_model::Offset;

use crate::{Appended, Batch, LogError};

/// A stream of the log, with its own offsets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stream {
    /// Proposed changes of the fleet state. Their order in the stream decides between conflicting
    /// proposals.
    Fleet,
    /// Snapshots of the fleet state.
    Snapshots,
    /// Task reports of workers, written by the platform.
    Tasks,
}

/// An append-only log whose records have consecutive offsets.
pub trait Log: Send + Sync + 'static {
    /// Appends `bodies` as consecutive records.
    ///
    /// On [`LogError::Unknown`], the records may have been appended.
    fn append(
        &self,
        stream: Stream,
        bodies: Vec<String>,
    ) -> impl Future<Output = Result<Appended, LogError>> + Send;

    /// Reads up to `max` records, starting at offset `from`, and waits up to `wait` for the first
    /// one.
    ///
    /// With `max` 0, only the range of offsets that the stream retains is returned.
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
