//! Raw records for peers that fell behind.

use std::collections::VecDeque;
use std::sync::Arc;

use cactuswheel_model::Offset;

/// Most bytes of records held.
const MAX_BYTES: usize = 1 << 20;

/// Most records held.
const MAX_COUNT: usize = 2_000;

/// The newest records, as they stand in the log.
#[derive(Debug, Clone, Default)]
pub struct RecentRecords {
    /// Offset of the oldest record held; of the next one, if none is.
    first: Offset,
    /// Invariant: consecutive offsets from `first` on; at most `MAX_COUNT`.
    bodies: VecDeque<Arc<str>>,
    /// Bytes of `bodies`.
    ///
    /// Invariant: at most `MAX_BYTES`, unless a single record is larger.
    bytes: usize,
}

impl RecentRecords {
    /// Offset of the oldest record held.
    pub fn first(&self) -> Offset {
        self.first
    }

    /// Holds nothing but what comes from `next` on.
    pub fn reset(&mut self, next: Offset) {
        *self = Self {
            first: next,
            ..Self::default()
        };
    }

    /// Adds the record after the newest.
    pub fn push(&mut self, body: &str) {
        self.bytes += body.len();
        self.bodies.push_back(body.into());
        while self.bodies.len() > MAX_COUNT || (self.bytes > MAX_BYTES && self.bodies.len() > 1) {
            let oldest = self.bodies.pop_front();
            self.bytes -= oldest.map_or(0, |b| b.len());
            self.first = self.first.next();
        }
    }

    /// Up to `max` records from `from` on that are `bytes` long at most together.
    ///
    /// None if the records from `from` on are not held any more, or if the first is longer
    /// than `bytes`: who asks has to take a snapshot.
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
