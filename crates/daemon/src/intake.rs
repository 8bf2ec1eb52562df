//! The one way by which records and snapshots reach the state that requests see.

use std::sync::{Arc, MutexGuard, PoisonError};

use cactuswheel_fleet::{Gap, Replica, State};
use cactuswheel_model::Offset;

use crate::shared::Shared;

impl Shared {
    /// Takes records that follow each other from `first` on, from the log or a peer.
    pub(crate) fn take<T: AsRef<str>>(&self, first: Offset, bodies: &[T]) -> Result<usize, Gap> {
        let progress = {
            let mut replica = self.replica();
            let mut progress = replica.apply(first, bodies)?;
            // Before the state shows: whoever waits for the offset then looks here.
            for (offset, results) in progress.jobs.drain(..) {
                self.jobs.settle(offset, results);
            }
            self.publish(&replica);
            progress
        };
        for (offset, e) in &progress.undecodable {
            log::error!("record {offset} passed over: {e}");
        }
        if progress.applied > 0 {
            self.reroute_if_changed();
        }
        Ok(progress.applied)
    }

    /// Takes the state of a snapshot, unless this node's is as new; whether it was taken.
    pub(crate) fn adopt(&self, state: State) -> bool {
        let taken = {
            let mut replica = self.replica();
            let taken = replica.install(state);
            self.publish(&replica);
            taken
        };
        if taken {
            self.reroute();
        }
        taken
    }

    /// Notes the head that the log told.
    pub(crate) fn hear_head(&self, head: Offset) {
        self.replica().note_head(head);
    }

    /// Whether the state holds all that the log and the peers heard of hold.
    pub(crate) fn is_current(&self) -> bool {
        let heard = self.heard_head();
        let replica = self.replica();
        replica.is_current() && replica.state().next() >= heard
    }

    /// The highest head that a peer told.
    pub(crate) fn heard_head(&self) -> Offset {
        let heads = self.heard();
        heads.values().map(|h| h.head).max().unwrap_or_default()
    }

    /// What the log and peers gave, locked for a moment; never held over an await.
    pub(crate) fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Shows the replica's state.
    ///
    /// Called with the replica locked: two tasks that publish in another order than they
    /// applied would show requests a state that goes back.
    fn publish(&self, replica: &Replica) {
        if self.state.load().next() == replica.state().next() {
            return;
        }
        let drained = replica.state().disruptions().drained();
        self.drained.store(Arc::new(drained.cloned().collect()));
        self.state.store(Arc::clone(replica.state()));
        self.reached.send_replace(replica.state().next());
    }
}
