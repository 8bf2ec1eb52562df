//! The life of a node.

use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};

/// Where a node is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// It has no usable state yet.
    Starting = 0,
    /// It serves.
    Ready = 1,
    /// It finishes what it has.
    Stopping = 2,
}

/// A phase that many threads read; it only moves forward.
#[derive(Debug, Default)]
pub(crate) struct PhaseCell {
    phase: AtomicU8,
    /// Whether there was a usable state, perhaps only while it was stopping.
    usable: AtomicBool,
}

impl PhaseCell {
    /// The phase now.
    pub(crate) fn get(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Starting,
            1 => Phase::Ready,
            _ => Phase::Stopping,
        }
    }

    /// Whether the node has a usable state. One that is stopped while it starts has none.
    pub(crate) fn is_usable(&self) -> bool {
        self.usable.load(Ordering::Acquire)
    }

    /// Moves on to `phase`, unless a later one was reached.
    pub(crate) fn advance(&self, phase: Phase) {
        if phase == Phase::Ready {
            self.usable.store(true, Ordering::Release);
        }
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }
}
