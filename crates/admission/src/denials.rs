//! Denied keys that may not be in the log yet.

use cactuswheel_model::{Denial, Digest, Map, Time};

/// Maximum number of pending denials; each takes a few dozen bytes.
const MAX_DENIALS: usize = 10_000;

/// Maximum number of denials in one heartbeat to a peer.
const MAX_PER_BEAT: usize = 32;

/// Denials that this entry enforces and that still have to reach the peers and the log.
///
/// Invariant: a denial stays here until it is in the state folded from the log.
#[derive(Debug, Clone, Default)]
pub struct Denials {
    by_digest: Map<Digest, PendingDenial>,
}

#[derive(Debug, Clone)]
struct PendingDenial {
    denial: Denial,
    /// When to append it to the log.
    due: Time,
}

impl Denials {
    /// Whether the key with this digest has a pending denial.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.by_digest.contains_key(digest)
    }

    /// Whether there are no pending denials.
    pub fn is_empty(&self) -> bool {
        self.by_digest.is_empty()
    }

    /// Adds a denial that this entry appends to the log at `due`, unless it is recorded by then.
    ///
    /// Returns false if the key is already denied here or the maximum number of denials is
    /// reached.
    pub fn insert(&mut self, denial: Denial, due: Time) -> bool {
        if self.contains(&denial.digest) || self.by_digest.len() >= MAX_DENIALS {
            return false;
        }
        self.by_digest
            .insert(denial.digest, PendingDenial { denial, due });
        true
    }

    /// Removes the denials that are now in the state folded from the log.
    pub fn prune(&mut self, recorded: impl Fn(&Digest) -> bool) {
        self.by_digest.retain(|digest, _| !recorded(digest));
    }

    /// Returns the denials to append at `now`; each becomes due again after `pause`.
    pub fn take_due(&mut self, now: Time, pause: std::time::Duration) -> Vec<Denial> {
        let due = self.by_digest.values_mut().filter(|p| p.due <= now);
        due.map(|pending| {
            pending.due = now.after(pause);
            pending.denial.clone()
        })
        .collect()
    }

    /// Returns up to `MAX_PER_BEAT` denials to send to a peer; successive values of `turn` cycle
    /// through all of them.
    pub fn batch(&self, turn: usize) -> impl Iterator<Item = &Denial> {
        let parts = self.by_digest.len().div_ceil(MAX_PER_BEAT).max(1);
        let from = (turn % parts) * MAX_PER_BEAT;
        self.by_digest
            .values()
            .skip(from)
            .take(MAX_PER_BEAT)
            .map(|p| &p.denial)
    }
}
