//! One node's copy of the state, and how far the fleet is known to be.

use std::sync::Arc;

use cactuswheel_model::{Offset, Refusal};

use crate::{Applied, RecentRecords, State};

/// Records that do not follow on what was applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("records from {got} on leave a gap after {next}")]
pub struct Gap {
    /// The offset that had to come next.
    pub next: Offset,
    /// The first offset that came.
    pub got: Offset,
}

/// What a run of records did.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// Records applied that had not been applied before.
    pub applied: usize,
    /// Offset and error of those that did not decode.
    pub undecodable: Vec<(Offset, String)>,
    /// Offset of each record of jobs, and what became of its events.
    pub jobs: Vec<(Offset, Vec<Result<(), Refusal>>)>,
}

/// Takes records and snapshots from the log or from peers, in any order and any number of
/// times; the state only ever moves forward.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    state: Arc<State>,
    recent: RecentRecords,
    /// Highest head that the log or a peer told.
    known_head: Offset,
}

impl Replica {
    /// The state, to be read without regard to this replica.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// The newest raw records.
    pub fn recent(&self) -> &RecentRecords {
        &self.recent
    }

    /// The highest head that was heard of.
    pub fn known_head(&self) -> Offset {
        self.known_head
    }

    /// Notes how far the log or a peer is.
    pub fn note_head(&mut self, head: Offset) {
        self.known_head = self.known_head.max(head);
    }

    /// Whether the state holds everything that the fleet is known to hold.
    pub fn is_current(&self) -> bool {
        self.state.next() >= self.known_head
    }

    /// Applies records that follow each other from `first` on; those known already do nothing.
    ///
    /// Failure: a peer or a trimmed log hands out records beyond the next one; applied, they
    /// would leave a change out, and this node alone would serve by another configuration.
    /// Nothing of a run that leaves a gap is applied.
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
        // Readers hold the old state as long as they like; they never see one half applied.
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

    /// Takes the state of a snapshot, unless this node's is as new.
    ///
    /// Failure: a snapshot from a paused writer, or from a peer that was cut off, would bring
    /// back what was changed since. An older one is never taken, so nothing reverts.
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
