//! One node's copy of the state, and the highest offset known to exist in the fleet.

use std::sync::Arc;

use cactuswheel_model::{Offset, Refusal};

use crate::{Applied, RecentRecords, State};

/// Records that start above the next offset to apply.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("gap in the log: records start at offset {got}, but offset {next} is next")]
pub struct Gap {
    /// The next offset to apply.
    pub next: Offset,
    /// The offset of the first record received.
    pub got: Offset,
}

/// The result of applying a batch of records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of records that were new.
    pub applied: usize,
    /// Offset and error of each record that could not be decoded.
    pub undecodable: Vec<(Offset, String)>,
    /// Offset of each record of job events, with the result of each event.
    pub jobs: Vec<(Offset, Vec<Result<(), Refusal>>)>,
}

/// Accepts records and snapshots from the log or from peers, in any order and with duplicates; its
/// offset never decreases.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    state: Arc<State>,
    recent: RecentRecords,
    /// Highest head reported by the log or a peer.
    known_head: Offset,
}

impl Replica {
    /// The state; it does not change while the caller holds it.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// The newest raw records.
    pub fn recent(&self) -> &RecentRecords {
        &self.recent
    }

    /// The highest head reported by the log or a peer.
    pub fn known_head(&self) -> Offset {
        self.known_head
    }

    /// Records a head reported by the log or a peer.
    pub fn note_head(&mut self, head: Offset) {
        self.known_head = self.known_head.max(head);
    }

    /// Whether the state includes every record that is known to exist.
    pub fn is_current(&self) -> bool {
        self.state.next() >= self.known_head
    }

    /// Applies consecutive records starting at `first`; those applied before are skipped.
    ///
    /// A peer or a trimmed log may return records that start above the next offset. Applying them
    /// would skip changes and leave this node alone with a different configuration, so a batch
    /// that leaves a gap is refused as a whole.
    pub fn apply<T: AsRef<str>>(&mut self, first: Offset, bodies: &[T]) -> Result<Progress, Gap> {
        let next = self.state.next();
        if first > next {
            return Err(Gap { next, got: first });
        }
        let mut progress = Progress::default();
        let skip = (next.get() - first.get()) as usize;
        let Some(fresh) = bodies.get(skip..).filter(|b| !b.is_empty()) else {
            return Ok(progress);
        };
        // Applied to a copy: readers may keep the old state for any time and never see a partly
        // applied batch.
        let mut state = State::clone(&self.state);
        for body in fresh {
            let offset = state.next();
            match state.apply(offset, body.as_ref()) {
                Applied::Undecodable(e) => progress.undecodable.push((offset, e)),
                Applied::Jobs(results) => progress.jobs.push((offset, results)),
                _ => {}
            }
            self.recent.push(body.as_ref());
        }
        progress.applied = fresh.len();
        self.note_head(state.next());
        self.state = Arc::new(state);
        Ok(progress)
    }

    /// Installs the state of a snapshot and returns `true`, unless it is not newer than the
    /// current state.
    ///
    /// A snapshot of a paused writer or of a peer that was partitioned would revert later changes.
    /// Only a snapshot with a higher offset is installed, so nothing is reverted.
    pub fn install(&mut self, state: State) -> bool {
        if state.next() <= self.state.next() {
            return false;
        }
        self.note_head(state.next());
        self.recent.reset(state.next());
        self.state = Arc::new(state);
        true
    }
}
