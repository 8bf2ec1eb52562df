//! One log stream in memory.

use std::collections::VecDeque;

use cactuswheel_model::Offset;
use cactuswheel_platform::{Batch, Entry};
use tokio::sync::watch;

/// Records with limited retention.
#[derive(Debug)]
pub(crate) struct Log {
    /// Invariant: consecutive offsets.
    entries: VecDeque<Entry>,
    /// Offset of the next append.
    head: Offset,
    /// Most records kept.
    capacity: usize,
    /// Calls of `append` so far.
    appends: u64,
    /// Tells readers that wait for the head to move.
    head_sender: watch::Sender<Offset>,
}

impl Log {
    /// An empty stream that keeps `kept` records.
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

    /// Appends `bodies`; the offset of the first.
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

    /// Up to `max` records from `from` on.
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

    /// Drops the oldest records but the last `kept`, as time would.
    pub(crate) fn trim(&mut self, kept: usize) {
        let surplus = self.entries.len().saturating_sub(kept);
        self.entries.drain(..surplus);
    }

    /// Calls of `append` so far.
    pub(crate) fn appends(&self) -> u64 {
        self.appends
    }

    /// Tells when the head moves.
    pub(crate) fn watch_head(&self) -> watch::Receiver<Offset> {
        self.head_sender.subscribe()
    }

    fn first(&self) -> Offset {
        self.entries.front().map_or(self.head, |e| e.offset)
    }
}
