//! A slot of an upstream, whose end the queue hears of.

use std::ops::Deref;
use std::sync::Arc;

use cactuswheel_model::PoolId;
use cactuswheel_routing::Lease;

use super::conns::Conns;
use crate::shared::Shared;

/// A lease; once it is dropped, whoever waits for a slot of the pool is woken.
#[derive(Debug)]
pub(super) struct Slot {
    /// Invariant: declared before `_wake`, so that the slot is free when the wake comes.
    lease: Lease<Conns>,
    _wake: Wake,
}

/// Wakes the queue of a pool when dropped.
#[derive(Debug)]
struct Wake {
    pool: PoolId,
    shared: Arc<Shared>,
}

impl Slot {
    /// Wraps a lease.
    pub(super) fn new(lease: Lease<Conns>, shared: Arc<Shared>) -> Self {
        let pool = lease.pool().clone();
        let _wake = Wake { pool, shared };
        Self { lease, _wake }
    }
}

impl Deref for Slot {
    type Target = Lease<Conns>;

    fn deref(&self) -> &Lease<Conns> {
        &self.lease
    }
}

impl Drop for Wake {
    fn drop(&mut self) {
        self.shared.slots.freed(&self.pool, self.shared.now());
    }
}
