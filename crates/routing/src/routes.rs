//! The upstreams of every pool.

use std::net::SocketAddr;
use std::sync::Arc;

use cactuswheel_model::{Code, Incarnation, InstanceId, Map, PoolId, Refusal, Slots};

use crate::{Lease, Upstream};

/// An instance that may take work: described by operators and seen live by the platform.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The instance.
    pub id: InstanceId,
    /// Which of its lives.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Requests that it runs at once.
    pub slots: Slots,
    /// Its pool.
    pub pool: PoolId,
}

/// Upstreams by pool; a new value replaces the old one whenever either changes.
#[derive(Debug, Default)]
pub struct Routes {
    pools: Map<PoolId, Vec<Arc<Upstream>>>,
}

impl Routes {
    /// Routes over `candidates`, which go on counting what `old` has running.
    pub fn new(candidates: impl IntoIterator<Item = Candidate>, old: &Self) -> Self {
        let known: Map<_, _> = old
            .upstreams()
            .map(|u| ((&u.id, u.incarnation, u.addr, u.slots), u))
            .collect();
        let mut pools: Map<PoolId, Vec<Arc<Upstream>>> = Map::default();
        for c in candidates {
            let upstream = match known.get(&(&c.id, c.incarnation, c.addr, c.slots)) {
                Some(u) => Arc::clone(u),
                None => Arc::new(Upstream::new(c.id, c.incarnation, c.addr, c.slots)),
            };
            pools.entry(c.pool).or_default().push(upstream);
        }
        Self { pools }
    }

    /// Takes a slot at the upstream of `pool` with the fewest requests from here.
    pub fn pick(&self, pool: &PoolId) -> Result<Lease, Refusal> {
        let none = || Refusal::new(Code::NoUpstream);
        let upstreams = self.pools.get(pool).ok_or_else(none)?;
        let best = upstreams
            .iter()
            .min_by_key(|u| u.running())
            .ok_or_else(none)?;
        Lease::take(best).ok_or_else(none)
    }

    /// All upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.pools.values().flatten()
    }
}
