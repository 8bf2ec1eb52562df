//! The life of a node.

use std::sync::atomic::{AtomicU8, Ordering};

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
pub(crate) struct PhaseCell(AtomicU8);

impl PhaseCell {
    /// The phase now.
    pub(crate) fn get(&self) -> Phase {
        match self.0.load(Ordering::Acquire) {
            0 => Phase::Starting,
            1 => Phase::Ready,
            _ => Phase::Stopping,
        }
    }

    /// Moves on to `phase`, unless a later one was reached.
    pub(crate) fn advance(&self, phase: Phase) {
        self.0.fetch_max(phase as u8, Ordering::AcqRel);
    }
}
