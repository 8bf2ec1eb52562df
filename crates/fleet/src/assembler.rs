//! Puts snapshots together from their parts.

use std::collections::BTreeMap;

use cactuswheel_model::{Digest, Offset};

use crate::snapshot_part::split;
use crate::{Snapshot, SnapshotError};

/// Most snapshots that are incomplete at the same time.
const MAX_OPEN: usize = 4;

/// Takes parts in any order, from any number of writers, any number of times, and keeps the
/// complete snapshot with the highest head.
///
/// Parts are told apart by head and digest: those of two writers at the same offset are the
/// same and fill each other's holes; those of different states never mix. A part that comes
/// late from a paused writer belongs to an older head and changes nothing.
#[derive(Debug, Default)]
pub struct Assembler {
    best: Option<Snapshot>,
    /// Texts of snapshots that are not complete yet, by part.
    ///
    /// Invariant: at most `MAX_OPEN`, the ones with the highest heads.
    open: BTreeMap<(Offset, Digest), BTreeMap<u32, String>>,
}

impl Assembler {
    /// The complete snapshot with the highest head.
    pub fn best(&self) -> Option<&Snapshot> {
        self.best.as_ref()
    }

    /// The complete snapshot with the highest head.
    pub fn into_best(self) -> Option<Snapshot> {
        self.best
    }

    /// Takes a record of the stream of snapshots.
    pub fn take(&mut self, body: &str) -> Result<(), SnapshotError> {
        let (header, text) = split(body)?;
        let head = header.mark.head;
        if self.best.as_ref().is_some_and(|best| best.head() >= head) {
            return Ok(());
        }
        let key = (head, header.mark.digest);
        let parts = self.open.entry(key).or_default();
        parts.insert(header.part, text.to_owned());
        if parts.len() == header.parts as usize {
            return self.complete(key);
        }
        if self.open.len() > MAX_OPEN {
            self.open.pop_first();
        }
        Ok(())
    }

    fn complete(&mut self, key: (Offset, Digest)) -> Result<(), SnapshotError> {
        let (head, digest) = key;
        let parts = self.open.remove(&key).unwrap_or_default();
        let text: String = parts.into_values().collect();
        if Digest::of(text.as_bytes()) != digest {
            return Err(SnapshotError::Digest);
        }
        self.best = Some(Snapshot::from_text(head, text));
        self.open.retain(|(open, _), _| *open > head);
        Ok(())
    }
}
