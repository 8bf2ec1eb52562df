//! One log stream in memory.

use std::collections::VecDeque;

use cactuswheel_model::Offset;
use cactuswheel_platform::{Batch, Entry};
use tokio::sync::watch;

/// A log stream that keeps a limited number of records.
#[derive(Debug)]
pub(crate) struct Log {
    /// Retained records. Invariant: their offsets are consecutive.
    entries: VecDeque<Entry>,
    /// Offset that the next appended record gets.
    head: Offset,
    /// Maximum number of retained records.
    capacity: usize,
    /// Number of calls of `append` so far.
    appends: u64,
    /// Notifies waiting readers of a new head.
    head_sender: watch::Sender<Offset>,
}

impl Log {
    /// Creates an empty stream that keeps the newest `capacity` records.
    pub(crate) fn new(capacity: usize) -> Self {
        let (head_sender, _) = watch::channel(Offset::default());
        Self {
            entries: VecDeque::new(),
            head: Offset::default(),
            capacity,
            appends: 0,
            head_sender,
        }
    }

    /// Appends `bodies`; returns the offset of the first one.
    pub(crate) fn append(&mut self, bodies: Vec<String>) -> Offset {
        let first = self.head;
        self.appends += 1;
        for body in bodies {
            self.entries.push_back(Entry {
                offset: self.head,
                body,
            });
            self.head = self.head.next();
        }
        let surplus = self.entries.len().saturating_sub(self.capacity);
        self.entries.drain(..surplus);
        self.head_sender.send_replace(self.head);
        first
    }

    /// Reads up to `max` records from `from` on; none if `from` is already trimmed.
    pub(crate) fn read(&self, from: Offset, max: usize) -> Batch {
        let first = self.first();
        let skip = from.get().saturating_sub(first.get()) as usize;
        let entries = match from < first {
            true => Vec::new(),
            false => self.entries.iter().skip(skip).take(max).cloned().collect(),
        };
        Batch {
            first,
            head: self.head,
            entries,
        }
    }

    /// Drops all but the newest `kept` records, as retention would.
    pub(crate) fn trim(&mut self, kept: usize) {
        let surplus = self.entries.len().saturating_sub(kept);
        self.entries.drain(..surplus);
    }

    /// Returns the number of calls of `append` so far.
    pub(crate) fn appends(&self) -> u64 {
        self.appends
    }

    /// Returns a receiver that is notified when the head changes.
    pub(crate) fn watch_head(&self) -> watch::Receiver<Offset> {
        self.head_sender.subscribe()
    }

    fn first(&self) -> Offset {
        self.entries.front().map_or(self.head, |e| e.offset)
    }
}
