//! How many retries there may be.

use std::sync::atomic::{AtomicU32, Ordering};

/// A token bucket that requests fill and retries empty.
///
/// Without it every request would be tried several times when a whole pool fails, which
/// multiplies the load just when the pool comes back. With it the retries are at most a fixed
/// part of the requests plus one bucket.
#[derive(Debug)]
pub struct RetryBudget {
    /// Hundredths of a retry.
    ///
    /// Invariant: at most [`Self::MAX_TOKENS`].
    tokens: AtomicU32,
}

impl RetryBudget {
    /// A retry, in tokens.
    const RETRY_COST: u32 = 100;

    /// What one request adds: a fifth of a retry.
    const REQUEST_CREDIT: u32 = 20;

    /// Most tokens kept: fifty retries.
    const MAX_TOKENS: u32 = 50 * Self::RETRY_COST;

    /// Counts a request.
    pub fn deposit(&self) {
        let tokens = self.tokens.load(Ordering::Relaxed);
        if tokens == Self::MAX_TOKENS {
            return;
        }
        let add = |n: u32| Some((n + Self::REQUEST_CREDIT).min(Self::MAX_TOKENS));
        // `add` always gives a value, so this cannot fail.
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes a retry out if there is one.
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
