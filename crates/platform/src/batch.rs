//! Messages of the log service.

use cactuswheel_model::Offset;
use serde::{Deserialize, Serialize};

/// A log record with its offset.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    /// The offset of the record.
    pub offset: Offset,
    /// The body of the record, which is opaque to the log.
    pub body: String,
}

/// Consecutive records, as returned by a read.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Batch {
    /// The offset of the oldest record that is retained.
    pub first: Offset,
    /// The offset that the next appended record gets.
    pub head: Offset,
    /// Records with consecutive offsets; empty if none was appended within the wait time.
    pub entries: Vec<Entry>,
}

/// Response to an append.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Appended {
    /// The offset of the first appended record.
    pub offset: Offset,
}
