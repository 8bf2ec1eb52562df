//! Puts snapshots together from their parts.

use std::collections::BTreeMap;

use cactuswheel_model::{Digest, Offset};

use crate::snapshot_part::decode;
use crate::{Snapshot, SnapshotError};

/// Most snapshots that are incomplete at the same time.
const MAX_INCOMPLETE: usize = 4;

/// Takes parts in any order, from any number of writers, any number of times, and keeps the
/// complete snapshot with the highest head.
///
/// Parts are told apart by head and digest: those of two writers at the same offset are the
/// same and fill each other's holes; those of different states never mix. A part that comes
/// late from a paused writer belongs to an older head and changes nothing.
#[derive(Debug, Default)]
pub struct Assembler {
    newest: Option<Snapshot>,
    /// Texts of snapshots that are not complete yet, by part.
    ///
    /// Invariant: at most `MAX_INCOMPLETE`, the ones with the highest heads.
    incomplete: BTreeMap<(Offset, Digest), BTreeMap<u32, String>>,
}

impl Assembler {
    /// The complete snapshot with the highest head.
    pub fn newest(&self) -> Option<&Snapshot> {
        self.newest.as_ref()
    }

    /// The complete snapshot with the highest head.
    pub fn into_newest(self) -> Option<Snapshot> {
        self.newest
    }

    /// Takes a record of the stream of snapshots.
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
