//! The upstreams of every pool.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::{Code, Incarnation, InstanceId, Map, PoolId, Refusal, Slots, Time};

use crate::pool::Pool;
use crate::{Lease, Nearness, RetryBudget, Upstream};

/// Retry delay sent to callers when a pool has no free slot.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// An instance that may take requests: configured by operators, not leaving and not drained.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The id of the instance.
    pub id: InstanceId,
    /// The life of the instance.
    pub incarnation: Incarnation,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Number of requests that it runs concurrently.
    pub slots: Slots,
    /// This entry's share of the slots, which it may always use.
    pub min_slots: u32,
    /// Maximum number of connections from this entry.
    pub conns: u32,
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// Its distance from this entry.
    pub nearness: Nearness,
}

/// The upstreams of each pool; replaced by a new value whenever the candidates change.
#[derive(Debug)]
pub struct Routes<C> {
    pools: Map<PoolId, Arc<Pool<C>>>,
}

impl<C: Default> Routes<C> {
    /// Builds routes to `candidates`.
    ///
    /// Unchanged upstreams and pools keep their state and running requests from `old`.
    pub fn new(candidates: impl IntoIterator<Item = Candidate>, old: &Self) -> Self {
        let reusable: Map<_, _> = old
            .upstreams()
            .map(|u| ((&u.id, u.incarnation, u.addr, u.slots, u.conns), u))
            .collect();
        let mut pools: Map<PoolId, Pool<C>> = Map::default();
        for c in candidates {
            let (pool, nearness) = (c.pool.clone(), c.nearness);
            let upstream = match reusable.get(&(&c.id, c.incarnation, c.addr, c.slots, c.conns)) {
                Some(u) => Arc::clone(u),
                None => Arc::new(Upstream::new(c)),
            };
            let shared = || match old.pools.get(&pool) {
                Some(p) => p.shared.clone(),
                None => Arc::default(),
            };
            let entry = pools.entry(pool.clone());
            let pool = entry.or_insert_with(|| Pool::new(pool.clone(), shared()));
            pool.add(nearness, upstream);
        }
        let pools = pools.into_iter().map(|(id, p)| (id, Arc::new(p)));
        Self {
            pools: pools.collect(),
        }
    }
}

impl<C> Routes<C> {
    /// Acquires a slot at an upstream of `pool` that is not in `tried`; `draw` is a random number.
    pub fn pick(
        &self,
        pool: &PoolId,
        tried: &[Arc<Upstream<C>>],
        now: Time,
        draw: u64,
    ) -> Result<Lease<C>, Refusal> {
        let pool = self.pools.get(pool);
        let lease = pool.and_then(|p| p.pick(tried, now, draw));
        lease.ok_or_else(|| Refusal::new(Code::NoUpstream).with_retry(RETRY_DELAY))
    }

    /// Slots of `pool` that this entry may use at `now`, including those in use.
    pub fn usable(&self, pool: &PoolId, now: Time) -> u32 {
        self.pools.get(pool).map_or(0, |p| p.usable(now))
    }

    /// Recent time to the head of a response from `pool`, averaged over its upstreams.
    pub fn latency(&self, pool: &PoolId, now: Time) -> Duration {
        let pool = self.pools.get(pool);
        pool.map_or(Duration::ZERO, |p| p.latency(now))
    }

    /// The retry budget of requests to `pool`.
    pub fn budget(&self, pool: &PoolId) -> Option<&RetryBudget> {
        self.pools.get(pool).map(|p| &p.shared.budget)
    }

    /// All upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream<C>>> {
        self.pools.values().flat_map(|p| p.upstreams())
    }
}

impl<C> Default for Routes<C> {
    fn default() -> Self {
        Self {
            pools: Map::default(),
        }
    }
}
