//! Recent raw records, kept for peers that have fallen behind.

use std::collections::VecDeque;
use std::sync::Arc;

use cactuswheel_model::Offset;

/// Maximum total size of the records kept, in bytes.
const MAX_BYTES: usize = 1 << 20;

/// Maximum number of records kept.
const MAX_COUNT: usize = 2_000;

/// The newest records, exactly as they are in the log.
#[derive(Debug, Clone, Default)]
pub struct RecentRecords {
    /// Offset of the oldest record kept, or of the next record if none is kept.
    first: Offset,
    /// Invariant: consecutive offsets starting at `first`; at most `MAX_COUNT`.
    bodies: VecDeque<Arc<str>>,
    /// Total size of `bodies`, in bytes.
    ///
    /// Invariant: at most `MAX_BYTES`, unless a single record is larger.
    bytes: usize,
}

impl RecentRecords {
    /// Offset of the oldest record kept, or of the next record if none is kept.
    pub fn first(&self) -> Offset {
        self.first
    }

    /// Drops all records; the next one pushed is that at offset `next`.
    pub fn reset(&mut self, next: Offset) {
        *self = Self {
            first: next,
            ..Self::default()
        };
    }

    /// Appends the next record, and drops the oldest ones beyond the bounds.
    pub fn push(&mut self, body: &str) {
        self.bytes += body.len();
        self.bodies.push_back(body.into());
        while self.bodies.len() > MAX_COUNT || (self.bytes > MAX_BYTES && self.bodies.len() > 1) {
            let oldest = self.bodies.pop_front();
            self.bytes -= oldest.map_or(0, |b| b.len());
            self.first = self.first.next();
        }
    }

    /// Returns at most `max` records from `from` on with a total size of at most `bytes`.
    ///
    /// Returns `None` if `from` is below the oldest record kept, or if the first record alone is
    /// larger than `bytes`: the caller then needs a snapshot.
    pub fn read(&self, from: Offset, max: usize, bytes: usize) -> Option<Vec<Arc<str>>> {
        let skip = from.get().checked_sub(self.first.get())? as usize;
        let mut remaining = bytes;
        let mut found = Vec::new();
        for body in self.bodies.iter().skip(skip).take(max) {
            match remaining.checked_sub(body.len()) {
                Some(rest) => remaining = rest,
                None if found.is_empty() => return None,
                None => break,
            }
            found.push(body.clone());
        }
        Some(found)
    }
}
