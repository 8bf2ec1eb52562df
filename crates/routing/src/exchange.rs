//! A caller's request across all its attempts.

use cactuswheel_model::{Ran, Time};

use crate::RetryBudget;

/// Maximum number of attempts per request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Decides after each failed attempt whether to retry the request.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// Whether the request may safely run twice.
    idempotent: bool,
    /// Deadline set by the caller.
    deadline: Time,
    /// Number of attempts started.
    attempts: u32,
    /// Whether an attempt may have run the request.
    ///
    /// Invariant: never reset to false. Proof that a second attempt did not run says nothing about
    /// the first one; if the first were forgotten, the caller could be told "not run" about a
    /// request that ran.
    may_have_run: bool,
}

impl Exchange {
    /// Creates the state of a request before its first attempt.
    pub fn new(idempotent: bool, deadline: Time) -> Self {
        Self {
            idempotent,
            deadline,
            attempts: 0,
            may_have_run: false,
        }
    }

    /// Counts an attempt that is being started.
    pub fn start_attempt(&mut self) {
        self.attempts += 1;
    }

    /// Records an attempt that failed before any of its response was sent to the caller; returns
    /// whether to retry.
    ///
    /// `ran` is the outcome of the attempt; `whole` is whether the whole request can still be sent
    /// again.
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

    /// Returns whether to retry after the upstream declined an attempt because it was full.
    ///
    /// A declined attempt costs the upstream almost nothing and is not a failure, so it is limited
    /// by the number of attempts only, not by the retry budget.
    pub fn retry_after_decline(&mut self, whole: bool, now: Time) -> bool {
        whole && !self.may_have_run && now < self.deadline && self.attempts < MAX_ATTEMPTS
    }

    /// Whether the request ran in any attempt, given the outcome `last` of its last attempt.
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
