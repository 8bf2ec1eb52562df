//! Messages of the log.

use cactuswheel_model::Offset;
use serde::{Deserialize, Serialize};

/// A record and its position.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub offset: Offset,
    /// Its text, which the log does not look into.
    pub body: String,
}

/// A run of records.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Batch {
    /// The oldest position still kept.
    pub first: Offset,
    /// The position that the next append gets.
    pub head: Offset,
    /// Records without a gap; empty if nothing came within the wait.
    pub entries: Vec<Entry>,
}

/// Answer to an append.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Appended {
    /// Position of the first record appended.
    pub offset: Offset,
}
