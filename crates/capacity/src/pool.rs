//! A pool in the course of one plan.

use cactuswheel_cell::WorkerView;
use cactuswheel_model::Map;
use cactuswheel_work::ServiceName;

use crate::fleet::Member;

/// A pool in the course of one plan.
#[derive(Debug, Default)]
pub(crate) struct Pool<'a> {
    /// Instances without which lasting work has no place.
    pub(crate) minimum: usize,
    /// Instances wanted now.
    pub(crate) target: usize,
    /// Instances that are kept.
    pub(crate) keep: usize,
    pub(crate) serving: Vec<(&'a Member<'a>, &'a WorkerView)>,
    pub(crate) closing: Vec<(&'a Member<'a>, &'a WorkerView)>,
    pub(crate) arriving: usize,
}

impl Pool<'_> {
    /// Instances with nothing on them that the pool does not want now.
    pub(crate) fn idle(&self) -> usize {
        let empty = |v: &WorkerView| v.runs == 0;
        let serving = self.serving.iter().filter(|(_, v)| empty(v)).count();
        let surplus = self.current().saturating_sub(self.target);
        let closing = self.closing.iter().filter(|(_, v)| empty(v)).count();
        serving.min(surplus) + closing
    }

    /// Whether lasting work lacks a place.
    pub(crate) fn below_minimum(&self) -> bool {
        self.current() < self.minimum
    }

    pub(crate) fn current(&self) -> usize {
        self.serving.len() + self.arriving
    }
}

/// Says what the pools are like.
pub(crate) fn log_pools(pools: &Map<&ServiceName, Pool<'_>>, spare: usize) {
    for (service, pool) in pools {
        let used: u64 = pool.serving.iter().map(|(_, v)| v.used.cpu).sum();
        let busy = pool.serving.iter().filter(|(_, v)| v.runs > 0).count();
        log::info!(
            service:% = service, target = pool.target as u64, keep = pool.keep as u64,
            serving = pool.serving.len() as u64, closing = pool.closing.len() as u64,
            coming = pool.arriving as u64, busy = busy as u64, used_cores = used / 1_000,
            spare = spare as u64;
            "pool"
        );
    }
}
