//! Assembles snapshots from their parts.

use std::collections::BTreeMap;

use cactuswheel_model::{Digest, Offset};

use crate::snapshot_part::decode;
use crate::{Snapshot, SnapshotError};

/// Maximum number of incomplete snapshots kept.
const MAX_INCOMPLETE: usize = 4;

/// Accepts parts in any order, from any number of writers and with duplicates, and keeps the
/// complete snapshot with the highest head.
///
/// Parts belong together if head and digest match: parts of two writers with the same state fill
/// each other's gaps, while parts of different states are never combined. A late part of a paused
/// writer belongs to a lower head and is ignored.
#[derive(Debug, Default)]
pub struct Assembler {
    newest: Option<Snapshot>,
    /// Text of each part received of the incomplete snapshots, by part number.
    ///
    /// Invariant: at most `MAX_INCOMPLETE`, those with the highest heads.
    incomplete: BTreeMap<(Offset, Digest), BTreeMap<u32, String>>,
}

impl Assembler {
    /// The complete snapshot with the highest head.
    pub fn newest(&self) -> Option<&Snapshot> {
        self.newest.as_ref()
    }

    /// Consumes the assembler and returns the complete snapshot with the highest head.
    pub fn into_newest(self) -> Option<Snapshot> {
        self.newest
    }

    /// Adds one record of the snapshot stream.
    ///
    /// Fails if the record is not a valid part, or if it completes a snapshot whose digest does
    /// not match.
    pub fn add_part(&mut self, body: &str) -> Result<(), SnapshotError> {
        let (header, text) = decode(body)?;
        let head = header.mark.head;
        if self
            .newest
            .as_ref()
            .is_some_and(|newest| newest.head() >= head)
        {
            return Ok(());
        }
        let key = (head, header.mark.digest);
        let parts = self.incomplete.entry(key).or_default();
        parts.insert(header.part, text.to_owned());
        if parts.len() == header.parts as usize {
            return self.complete(key);
        }
        if self.incomplete.len() > MAX_INCOMPLETE {
            self.incomplete.pop_first();
        }
        Ok(())
    }

    fn complete(&mut self, key: (Offset, Digest)) -> Result<(), SnapshotError> {
        let (head, digest) = key;
        let parts = self.incomplete.remove(&key).unwrap_or_default();
        let text: String = parts.into_values().collect();
        if Digest::of(text.as_bytes()) != digest {
            return Err(SnapshotError::Digest);
        }
        self.newest = Some(Snapshot::from_text(head, text));
        self.incomplete.retain(|(other, _), _| *other > head);
        Ok(())
    }
}
