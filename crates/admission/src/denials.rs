//! Withdrawn keys that the log may not show yet.

use cactuswheel_model::{Denial, Digest, Map, Time};

/// Denials kept; each is a few dozen bytes.
const MAX_DENIALS: usize = 10_000;

/// Denials told to a peer at once.
const MAX_PER_BEAT: usize = 32;

/// Denials in force here and on their way to the peers and the log.
///
/// Invariant: one that is not in the log's state yet stays here.
#[derive(Debug, Clone, Default)]
pub struct Denials {
    pending: Map<Digest, PendingDenial>,
}

#[derive(Debug, Clone)]
struct PendingDenial {
    denial: Denial,
    /// When it is to be appended.
    due: Time,
}

impl Denials {
    /// Whether a key is denied.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.pending.contains_key(digest)
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes a denial that this entry appends at `due`, if nobody has before; whether it is news.
    pub fn insert(&mut self, denial: Denial, due: Time) -> bool {
        if self.contains(&denial.digest) || self.pending.len() >= MAX_DENIALS {
            return false;
        }
        self.pending
            .insert(denial.digest, PendingDenial { denial, due });
        true
    }

    /// Forgets those that the log's state holds by now.
    pub fn remove_recorded(&mut self, recorded: impl Fn(&Digest) -> bool) {
        self.pending.retain(|digest, _| !recorded(digest));
    }

    /// Those to append now; each is due again after `pause`.
    pub fn take_due(&mut self, now: Time, pause: std::time::Duration) -> Vec<Denial> {
        let due = self.pending.values_mut().filter(|p| p.due <= now);
        due.map(|pending| {
            pending.due = now.after(pause);
            pending.denial.clone()
        })
        .collect()
    }

    /// Some to tell a peer; `turn` picks others each time if there are many.
    pub fn batch(&self, turn: usize) -> impl Iterator<Item = &Denial> {
        let parts = self.pending.len().div_ceil(MAX_PER_BEAT).max(1);
        let from = (turn % parts) * MAX_PER_BEAT;
        self.pending
            .values()
            .skip(from)
            .take(MAX_PER_BEAT)
            .map(|p| &p.denial)
    }
}
