//! A caller's request over all its attempts.

use cactuswheel_model::{Ran, Time};

use crate::RetryBudget;

/// Most attempts at one request.
pub const MAX_TRIES: u32 = 4;

/// Decides after each failed attempt whether there is another.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// Whether running the request twice does no harm.
    idempotent: bool,
    /// The caller's deadline.
    until: Time,
    /// Attempts begun.
    tries: u32,
    /// Whether an attempt may have run the request.
    ///
    /// Invariant: never goes back to false. A second attempt that proves not to have run says
    /// nothing of the first; forgetting the first would tell the caller "not run" of a request
    /// that ran.
    clouded: bool,
}

impl Exchange {
    /// A request before its first attempt.
    pub fn new(idempotent: bool, until: Time) -> Self {
        Self {
            idempotent,
            until,
            tries: 0,
            clouded: false,
        }
    }

    /// Counts an attempt that begins.
    pub fn begin(&mut self) {
        self.tries += 1;
    }

    /// Notes an attempt that failed before any of its answer went out; whether there may be
    /// another.
    ///
    /// `whole` tells whether the whole request can still be sent.
    pub fn failed(&mut self, ran: Ran, whole: bool, now: Time, budget: &RetryBudget) -> bool {
        self.clouded |= ran != Ran::NotRun;
        let harmless = self.idempotent || !self.clouded;
        let timely = now < self.until && self.tries < MAX_TRIES;
        harmless && whole && timely && budget.withdraw()
    }

    /// Notes an attempt that the upstream declined since it was full; whether there may be
    /// another.
    ///
    /// It costs the upstream next to nothing and is no failure, so no budget bounds it but the
    /// number of attempts.
    pub fn declined(&mut self, whole: bool, now: Time) -> bool {
        whole && !self.clouded && now < self.until && self.tries < MAX_TRIES
    }

    /// Whether the request ran, if its last attempt says `last`.
    pub fn ran(&self, last: Ran) -> Ran {
        match (self.clouded, last) {
            (true, Ran::NotRun) => Ran::Unknown,
            (_, last) => last,
        }
    }

    /// The caller's deadline.
    pub fn until(&self) -> Time {
        self.until
    }
}
