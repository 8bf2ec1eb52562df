//! A slot of an upstream, held while a request runs on it.

use std::sync::Arc;

use cactuswheel_model::{PoolId, Time};

use crate::pool::Pool;
use crate::{Outcome, RetryBudget, Upstream};

/// Holds one slot; dropping it gives the slot back.
#[derive(Debug)]
pub struct Lease<C> {
    upstream: Arc<Upstream<C>>,
    pool: Arc<Pool<C>>,
}

impl<C> Lease<C> {
    /// Takes a slot of `upstream` if one is free.
    pub(crate) fn try_acquire(
        upstream: &Arc<Upstream<C>>,
        pool: &Arc<Pool<C>>,
        now: Time,
    ) -> Option<Self> {
        upstream.try_acquire(now).then(|| Self {
            upstream: upstream.clone(),
            pool: pool.clone(),
        })
    }

    /// The upstream.
    pub fn upstream(&self) -> &Arc<Upstream<C>> {
        &self.upstream
    }

    /// The upstream's pool.
    pub fn pool(&self) -> &PoolId {
        &self.pool.id
    }

    /// The pool's retries.
    pub fn budget(&self) -> &RetryBudget {
        &self.pool.shared.budget
    }

    /// Notes what became of the request; a failure may eject the upstream.
    pub fn record_outcome(&self, outcome: Outcome, now: Time) {
        if self.upstream.record_outcome(outcome, now) {
            self.pool.eject(&self.upstream, now);
        }
    }
}

impl<C> Drop for Lease<C> {
    fn drop(&mut self) {
        self.upstream.release();
    }
}
