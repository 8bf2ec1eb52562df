//! Notices of complete snapshots.

use serde::{Deserialize, Serialize};

use crate::{Digest, Offset};

/// Notice that a complete snapshot has been written to the snapshot stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotMark {
    /// The snapshot covers all records below this offset.
    pub head: Offset,
    /// Digest of the snapshot's bytes.
    pub digest: Digest,
    /// Size of the snapshot, in bytes.
    pub size: u64,
}
