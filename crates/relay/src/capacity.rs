//! How many workers a node can send orders to.

use std::fmt;
use std::iter::Sum;

use serde::{Deserialize, Serialize};

/// Traffic of a busy worker in bytes per second: orders, their answers and polls.
const WORKER_BYTES: f64 = 8_000.0;

/// Share of a link that orders may use; callers' requests and the store need the rest.
const MAX_LINK_SHARE: f64 = 0.3;

/// Number of busy workers for which a relay can send orders per core, beside the node's other work.
const RELAY_WORKERS_PER_CORE: f64 = 300.0;

/// Number of workers for which the owner can send orders per core, beside scheduling. The owner
/// needs less processor time per order than a relay, which also has to receive each order in a
/// message.
const OWNER_WORKERS_PER_CORE: f64 = 1_000.0;

/// How many workers a node can send orders to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Capacity(u32);

impl Capacity {
    /// The capacity of a relay with a link of `link` bytes per second and `cores` cores; at least
    /// one worker.
    pub fn new(link: f64, cores: f64) -> Self {
        let by_link = Self::for_link(link).0 as f64;
        Self(by_link.min(cores * RELAY_WORKERS_PER_CORE).max(1.0) as u32)
    }

    /// The capacity of the owner with a link of `link` bytes per second and `cores` cores; at least
    /// one worker.
    ///
    /// The link alone must not decide: with a fast link, an owner with half a core would send
    /// orders to a thousand workers itself. Its processor would be saturated, and jobs would wait
    /// for a second while dozens of nodes are idle.
    pub fn for_owner(link: f64, cores: f64) -> Self {
        let by_link = Self::for_link(link).0 as f64;
        Self(by_link.min(cores * OWNER_WORKERS_PER_CORE).max(1.0) as u32)
    }

    /// The capacity of a link of `link` bytes per second; at least one worker.
    pub fn for_link(link: f64) -> Self {
        Self((link * MAX_LINK_SHARE / WORKER_BYTES).clamp(1.0, u32::MAX as f64) as u32)
    }

    /// The share of the capacity that `workers` workers use; above 1 if they exceed it.
    pub fn load(self, workers: usize) -> f64 {
        workers as f64 / f64::from(self.0.max(1))
    }

    /// The number of workers.
    pub const fn workers(self) -> usize {
        self.0 as usize
    }
}

impl Sum for Capacity {
    fn sum<I: Iterator<Item = Self>>(capacities: I) -> Self {
        Self(capacities.fold(0, |sum, c| sum.saturating_add(c.0)))
    }
}

impl fmt::Display for Capacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} workers", self.0)
    }
}
