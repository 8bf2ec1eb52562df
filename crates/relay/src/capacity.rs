//! For how many workers a node can carry orders.

use std::fmt;
use std::iter::Sum;

use serde::{Deserialize, Serialize};

/// Bytes a second that orders to a busy worker, their answers and looks at it take up.
const WORKER_BYTES: f64 = 8_000.0;

/// Share of a link that orders may take up: callers' requests and the store need the rest.
const LINK_SHARE: f64 = 0.3;

/// Busy workers for which a whole core carries orders, beside a node's other work.
const PER_CORE: f64 = 300.0;

/// Workers for which a whole core carries orders beside scheduling. An owner has its own orders
/// at hand and needs less time for them than a relay, to which they come as messages.
const OWNED_PER_CORE: f64 = 1_000.0;

/// For how many workers a node can carry orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Capacity(u32);

impl Capacity {
    /// Of a node with a link of so many bytes a second and so many cores; at least one worker.
    pub fn new(link: f64, cores: f64) -> Self {
        let most = Self::for_link(link).0 as f64;
        Self(most.min(cores * PER_CORE).max(1.0) as u32)
    }

    /// Of an owner with such a link and so many cores; at least one worker.
    ///
    /// Failure: a wide link lets an owner with half a core send to a thousand workers by itself;
    /// its processor is used up, and jobs wait for a second while dozens of nodes idle.
    pub fn for_owner(link: f64, cores: f64) -> Self {
        let most = Self::for_link(link).0 as f64;
        Self(most.min(cores * OWNED_PER_CORE).max(1.0) as u32)
    }

    /// As far as the link goes; at least one worker.
    pub fn for_link(link: f64) -> Self {
        Self((link * LINK_SHARE / WORKER_BYTES).clamp(1.0, u32::MAX as f64) as u32)
    }

    /// Share of it that so many workers take up; above 1 if it is exceeded.
    pub fn load(self, workers: usize) -> f64 {
        workers as f64 / f64::from(self.0.max(1))
    }

    /// Number of workers.
    pub const fn workers(self) -> usize {
        self.0 as usize
    }
}

impl Sum for Capacity {
    fn sum<I: Iterator<Item = Self>>(all: I) -> Self {
        Self(all.fold(0, |sum, c| sum.saturating_add(c.0)))
    }
}

impl fmt::Display for Capacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} workers", self.0)
    }
}
