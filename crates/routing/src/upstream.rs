//! One life of one upstream, as this entry uses it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

use cactuswheel_model::{Incarnation, InstanceId, Slots};

/// An upstream and what this entry has running on it.
#[derive(Debug)]
pub struct Upstream {
    /// Its instance.
    pub id: InstanceId,
    /// Which life of the instance.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Requests that it runs at once, for all entries together.
    pub slots: Slots,
    /// Requests from this entry.
    ///
    /// Invariant: at most `slots`; counted by [`crate::Lease`]s only.
    running: AtomicU32,
}

impl Upstream {
    /// An upstream with nothing running.
    pub fn new(id: InstanceId, incarnation: Incarnation, addr: SocketAddr, slots: Slots) -> Self {
        Self {
            id,
            incarnation,
            addr,
            slots,
            running: AtomicU32::new(0),
        }
    }

    /// Requests from this entry.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Takes a slot if one is free.
    pub(crate) fn take(&self) -> bool {
        let more = |n: u32| (n < self.slots.get()).then_some(n + 1);
        self.running
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, more)
            .is_ok()
    }

    /// Gives a slot back.
    pub(crate) fn give(&self) {
        self.running.fetch_sub(1, Ordering::AcqRel);
    }
}
