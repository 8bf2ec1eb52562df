//! A slot of an upstream, held while a request runs on it.

use std::sync::Arc;

use cactuswheel_model::{PoolId, Time};

use crate::pool::Pool;
use crate::{Outcome, RetryBudget, Upstream};

/// Holds one slot of an upstream; dropping it releases the slot.
#[derive(Debug)]
pub struct Lease<C> {
    upstream: Arc<Upstream<C>>,
    pool: Arc<Pool<C>>,
}

impl<C> Lease<C> {
    /// Acquires a slot of `upstream` if one is free.
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

    /// The upstream that the slot belongs to.
    pub fn upstream(&self) -> &Arc<Upstream<C>> {
        &self.upstream
    }

    /// The pool that the upstream belongs to.
    pub fn pool(&self) -> &PoolId {
        &self.pool.id
    }

    /// The retry budget of the pool.
    pub fn budget(&self) -> &RetryBudget {
        &self.pool.shared.budget
    }

    /// Records the outcome of the request; a failure may eject the upstream.
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
