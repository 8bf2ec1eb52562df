//! A life of an entry: one lifetime of its process, from start to exit.

use std::collections::BTreeSet;

use cactuswheel_model::{DcId, LifeId, Offset, Timing};
use serde::{Deserialize, Serialize};

/// A life that may have requests running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    /// Data centre of the entry.
    pub dc: DcId,
    /// The timeouts that the entry keeps to.
    pub timing: Timing,
    /// Offset of the record by which it joined.
    pub joined: Offset,
    /// Offset of the record that revoked it; a revocation is never undone.
    pub revoked: Option<Offset>,
    /// Offset of the revocation, or of the later end or replacement of a peer. Each peer counts
    /// the waiting time from when it reads the record at this offset.
    pub since: Offset,
    /// Whether another process has since joined under the same entry name.
    pub(crate) replaced: bool,
    /// Peers that have confirmed that it has nothing running that their renewals allowed.
    ///
    /// Invariant: empty before the revocation; all confirmations were counted from `since`.
    witnesses: BTreeSet<LifeId>,
}

impl Life {
    /// Creates a life that joined at `joined`.
    pub(crate) fn new(dc: DcId, timing: Timing, joined: Offset) -> Self {
        Self {
            dc,
            timing,
            joined,
            revoked: None,
            since: joined,
            replaced: false,
            witnesses: BTreeSet::new(),
        }
    }

    /// Whether it may start requests, that is, whether it was not revoked.
    pub fn is_open(&self) -> bool {
        self.revoked.is_none()
    }

    /// Whether `by` has confirmed that it has nothing running.
    pub fn witnessed(&self, by: &LifeId) -> bool {
        self.witnesses.contains(by)
    }

    /// Whether any peer has confirmed that it has nothing running.
    pub(crate) fn has_witness(&self) -> bool {
        !self.witnesses.is_empty()
    }

    pub(crate) fn revoke(&mut self, at: Offset) {
        self.revoked = Some(at);
        self.since = at;
    }

    /// Restarts the waiting time at `at` and discards the confirmations given so far.
    pub(crate) fn restart_wait(&mut self, at: Offset) {
        self.since = at;
        self.witnesses.clear();
    }

    /// Adds the confirmation of a peer that counted its waiting time from `since`; returns whether
    /// it was valid and new.
    pub(crate) fn witness(&mut self, by: &LifeId, since: Offset) -> bool {
        !self.is_open() && self.since == since && self.witnesses.insert(by.clone())
    }
}
