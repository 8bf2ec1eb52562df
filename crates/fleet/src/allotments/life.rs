//! A life of an entry as the log knows it.

use std::collections::BTreeSet;

use cactuswheel_model::{DcId, LifeId, Offset, Timing};
use serde::{Deserialize, Serialize};

/// A life that may have work running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    /// Its data centre.
    pub dc: DcId,
    /// The times that it binds itself to.
    pub timing: Timing,
    /// Where its joining stands.
    pub joined: Offset,
    /// Where it was revoked; never undone.
    pub revoked: Option<Offset>,
    /// From where on its peers count their time: the revocation, or the end of a peer after it.
    pub since: Offset,
    /// Whether another process has taken its name since.
    pub(crate) replaced: bool,
    /// Peers that know it to have nothing running as far as they could renew it.
    ///
    /// Invariant: empty before the revocation; all counted from `since`.
    witnesses: BTreeSet<LifeId>,
}

impl Life {
    /// A life that joined at `joined`.
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

    /// Whether it may start work.
    pub fn is_open(&self) -> bool {
        self.revoked.is_none()
    }

    /// Whether `by` has given its word on it.
    pub fn witnessed(&self, by: &LifeId) -> bool {
        self.witnesses.contains(by)
    }

    /// Whether anyone has given a word on it.
    pub(crate) fn has_witness(&self) -> bool {
        !self.witnesses.is_empty()
    }

    pub(crate) fn revoke(&mut self, at: Offset) {
        self.revoked = Some(at);
        self.since = at;
    }

    /// Makes all witnesses count their time again, from `at` on.
    pub(crate) fn restart_wait(&mut self, at: Offset) {
        self.since = at;
        self.witnesses.clear();
    }

    /// Takes a word counted from `since`; whether it is news.
    pub(crate) fn witness(&mut self, by: &LifeId, since: Offset) -> bool {
        !self.is_open() && self.since == since && self.witnesses.insert(by.clone())
    }
}
