//! How the platform's log answers this node.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use cactuswheel_model::Offset;

/// What the last read of the fleet's stream told; the follower writes, others look.
#[derive(Debug, Default)]
pub(crate) struct LogLink {
    first: AtomicU64,
    down: AtomicBool,
    gap: AtomicBool,
}

impl LogLink {
    /// Notes an answer; the log keeps records from `first` on.
    pub(crate) fn answered(&self, first: Offset) {
        self.first.store(first.get(), Ordering::Relaxed);
        self.down.store(false, Ordering::Relaxed);
    }

    /// Notes that no answer came.
    pub(crate) fn failed(&self) {
        self.down.store(true, Ordering::Relaxed);
    }

    /// Notes whether records are missing between this node's state and what the log keeps.
    pub(crate) fn set_gap(&self, gap: bool) {
        self.gap.store(gap, Ordering::Relaxed);
    }

    /// The oldest record that the log keeps, as far as is known.
    pub(crate) fn first(&self) -> Offset {
        Offset::new(self.first.load(Ordering::Relaxed))
    }

    /// Why a node that starts is not in service yet, for people.
    pub(crate) fn waiting(&self) -> &'static str {
        match (self.has_gap(), self.is_down()) {
            (true, _) => "records are missing between the newest snapshot and the log",
            (_, true) => "no answer from the log, and no peer in service reached",
            _ => "reading the log",
        }
    }

    /// Whether the last read failed.
    pub(crate) fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// Whether the log cannot give what comes next.
    pub(crate) fn has_gap(&self) -> bool {
        self.gap.load(Ordering::Relaxed)
    }
}
