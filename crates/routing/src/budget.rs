//! The retry budget of a pool.

use std::sync::atomic::{AtomicU32, Ordering};

/// A token bucket that requests fill and retries drain.
///
/// Without it, every request would be sent several times while a whole pool fails, which
/// multiplies the load just when the pool recovers. With it, the number of retries is at most a
/// fixed fraction of the number of requests plus one full bucket.
#[derive(Debug)]
pub struct RetryBudget {
    /// Available tokens, in hundredths of a retry.
    ///
    /// Invariant: at most [`Self::MAX_TOKENS`].
    tokens: AtomicU32,
}

impl RetryBudget {
    /// Tokens that one retry costs.
    const RETRY_COST: u32 = 100;

    /// Tokens that one request adds: a fifth of a retry.
    const REQUEST_CREDIT: u32 = 20;

    /// Capacity of the bucket: fifty retries.
    const MAX_TOKENS: u32 = 50 * Self::RETRY_COST;

    /// Adds the tokens of one request.
    pub fn deposit(&self) {
        let tokens = self.tokens.load(Ordering::Relaxed);
        if tokens == Self::MAX_TOKENS {
            return;
        }
        let add = |n: u32| Some((n + Self::REQUEST_CREDIT).min(Self::MAX_TOKENS));
        // `add` always returns a value, so the update cannot fail.
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes the tokens of one retry; returns false if there are too few.
    pub fn withdraw(&self) -> bool {
        let subtract = |n: u32| n.checked_sub(Self::RETRY_COST);
        self.tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract)
            .is_ok()
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: AtomicU32::new(Self::MAX_TOKENS),
        }
    }
}
