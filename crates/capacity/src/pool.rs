//! State of a pool during one planning cycle.

use cactuswheel_cell::{Load, WorkerView};
use cactuswheel_model::Map;
use cactuswheel_work::ServiceName;

use crate::fleet::Member;

/// Demand and instances of a pool during one planning cycle.
#[derive(Debug, Default)]
pub(crate) struct Pool<'a> {
    /// Instances needed to place all long-running work.
    pub(crate) minimum: usize,
    /// Instances wanted now.
    pub(crate) target: usize,
    /// Instances that the pool retains; only those beyond this number are released.
    pub(crate) keep: usize,
    pub(crate) serving: Vec<(&'a Member<'a>, &'a WorkerView)>,
    pub(crate) closing: Vec<(&'a Member<'a>, &'a WorkerView)>,
    pub(crate) arriving: usize,
}

impl Pool<'_> {
    /// Number of instances that run no tasks and that the pool does not want now.
    pub(crate) fn idle(&self) -> usize {
        let empty = |v: &WorkerView| v.runs == 0;
        let serving = self.serving.iter().filter(|(_, v)| empty(v)).count();
        let surplus = self.current().saturating_sub(self.target);
        let closing = self.closing.iter().filter(|(_, v)| empty(v)).count();
        serving.min(surplus) + closing
    }

    /// Whether some long-running work cannot be placed.
    pub(crate) fn below_minimum(&self) -> bool {
        self.current() < self.minimum
    }

    pub(crate) fn current(&self) -> usize {
        self.serving.len() + self.arriving
    }
}

/// Logs the state of every pool, with the demand that its target follows.
pub(crate) fn log_pools(
    pools: &Map<&ServiceName, Pool<'_>>,
    loads: &Map<ServiceName, Load>,
    spare: usize,
) {
    let idle = Load::default();
    for (service, pool) in pools {
        let load = loads.get(*service).unwrap_or(&idle);
        let used: u64 = pool.serving.iter().map(|(_, v)| v.used.cpu).sum();
        let busy = pool.serving.iter().filter(|(_, v)| v.runs > 0).count();
        log::info!(
            service:% = service, target = pool.target as u64, keep = pool.keep as u64,
            serving = pool.serving.len() as u64, closing = pool.closing.len() as u64,
            coming = pool.arriving as u64, busy = busy as u64, used_cores = used / 1_000,
            lasting_cores = load.lasting.cpu / 1_000, waiting_cores = load.waiting.cpu / 1_000,
            unplaceable_cores = load.unplaceable.cpu / 1_000,
            spare = spare as u64;
            "pool"
        );
    }
}
