//! A caller's request over all its attempts.

use cactuswheel_model::{Ran, Time};

use crate::RetryBudget;

/// Most attempts at one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Decides after each failed attempt whether there is another.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// Whether running the request twice does no harm.
    idempotent: bool,
    /// The caller's deadline.
    deadline: Time,
    /// Attempts begun.
    attempts: u32,
    /// Whether an attempt may have run the request.
    ///
    /// Invariant: never goes back to false. A second attempt that proves not to have run says
    /// nothing of the first; forgetting the first would tell the caller "not run" of a request
    /// that ran.
    may_have_run: bool,
}

impl Exchange {
    /// A request before its first attempt.
    pub fn new(idempotent: bool, deadline: Time) -> Self {
        Self {
            idempotent,
            deadline,
            attempts: 0,
            may_have_run: false,
        }
    }

    /// Counts an attempt that begins.
    pub fn start_attempt(&mut self) {
        self.attempts += 1;
    }

    /// Notes an attempt that failed before any of its answer went out; whether there may be
    /// another.
    ///
    /// `whole` tells whether the whole request can still be sent.
    pub fn retry_after_failure(
        &mut self,
        ran: Ran,
        whole: bool,
        now: Time,
        budget: &RetryBudget,
    ) -> bool {
        self.may_have_run |= ran != Ran::NotRun;
        let safe = self.idempotent || !self.may_have_run;
        let in_time = now < self.deadline && self.attempts < MAX_ATTEMPTS;
        safe && whole && in_time && budget.withdraw()
    }

    /// Notes an attempt that the upstream declined since it was full; whether there may be
    /// another.
    ///
    /// It costs the upstream next to nothing and is no failure, so no budget bounds it but the
    /// number of attempts.
    pub fn retry_after_decline(&mut self, whole: bool, now: Time) -> bool {
        whole && !self.may_have_run && now < self.deadline && self.attempts < MAX_ATTEMPTS
    }

    /// Whether the request ran, if its last attempt says `last`.
    pub fn ran(&self, last: Ran) -> Ran {
        match (self.may_have_run, last) {
            (true, Ran::NotRun) => Ran::Unknown,
            (_, last) => last,
        }
    }

    /// The caller's deadline.
    pub fn deadline(&self) -> Time {
        self.deadline
    }
}
