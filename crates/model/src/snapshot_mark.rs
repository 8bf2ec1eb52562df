//! Word of a snapshot.

use serde::{Deserialize, Serialize};

use crate::{Digest, Offset};

/// Says that a whole snapshot stands in the stream of snapshots.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotMark {
    /// It holds all records below this offset.
    pub head: Offset,
    /// Digest of its bytes.
    pub digest: Digest,
    /// Its bytes.
    pub size: u64,
}
