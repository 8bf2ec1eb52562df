//! A slot of an upstream, whose end the queue hears of.

use std::ops::Deref;
use std::sync::Arc;

use cactuswheel_routing::Lease;

use super::conns::Conns;
use crate::shared::Shared;

/// A lease; once it is dropped, whoever waits for one is woken.
#[derive(Debug)]
pub(super) struct Slot {
    /// Invariant: declared before `_wake`, so that the slot is free when the wake comes.
    lease: Lease<Conns>,
    _wake: Wake,
}

/// Wakes whoever waits when dropped.
#[derive(Debug)]
struct Wake {
    shared: Arc<Shared>,
}

impl Slot {
    /// Wraps a lease.
    pub(super) fn new(lease: Lease<Conns>, shared: Arc<Shared>) -> Self {
        let _wake = Wake { shared };
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
        self.shared.lines.freed();
    }
}
