//! The upstreams of one pool.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactuswheel_model::{PoolId, Time};

use crate::health::HealthState;
use crate::{Lease, Nearness, RetryBudget, Upstream};

/// The state of a pool that persists when its upstreams change.
#[derive(Debug, Default)]
pub(crate) struct SharedState {
    /// The retry budget of requests to the pool.
    pub(crate) budget: RetryBudget,
    /// Held while an ejection is decided, so that two concurrent ejections cannot exceed the bound.
    ejection_lock: Mutex<()>,
}

/// The upstreams of a pool, grouped by nearness.
#[derive(Debug)]
pub(crate) struct Pool<C> {
    pub(crate) id: PoolId,
    /// Groups of upstreams, nearest first.
    ///
    /// Invariant: no group is empty.
    tiers: Vec<(Nearness, Vec<Arc<Upstream<C>>>)>,
    pub(crate) shared: Arc<SharedState>,
}

impl<C> Pool<C> {
    /// Creates a pool without upstreams.
    pub(crate) fn new(id: PoolId, shared: Arc<SharedState>) -> Self {
        Self {
            id,
            tiers: Vec::new(),
            shared,
        }
    }

    /// Adds an upstream.
    pub(crate) fn add(&mut self, nearness: Nearness, upstream: Arc<Upstream<C>>) {
        match self.tiers.binary_search_by_key(&nearness, |(n, _)| *n) {
            Ok(i) => self.tiers[i].1.push(upstream),
            Err(i) => self.tiers.insert(i, (nearness, vec![upstream])),
        }
    }

    /// All upstreams, nearest first.
    pub(crate) fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream<C>>> {
        self.tiers.iter().flat_map(|(_, tier)| tier)
    }

    /// Acquires a slot in the nearest tier that has a free one, from an upstream not in `tried`.
    pub(crate) fn pick(
        self: &Arc<Self>,
        tried: &[Arc<Upstream<C>>],
        now: Time,
        draw: u64,
    ) -> Option<Lease<C>> {
        let untried = |u: &Arc<Upstream<C>>| !tried.iter().any(|t| Arc::ptr_eq(t, u));
        let mut tiers = self.tiers.iter();
        tiers.find_map(|(_, tier)| self.pick_in_tier(tier, untried, now, draw))
    }

    /// Acquires a slot at the cheaper of two random upstreams, or at the first other one that has a
    /// free slot if both are full.
    ///
    /// Two random choices keep the load nearly even without examining every upstream, and unlike
    /// picking the least loaded one they do not send the requests of all entries to the same
    /// upstream.
    fn pick_in_tier(
        self: &Arc<Self>,
        tier: &[Arc<Upstream<C>>],
        untried: impl Fn(&Arc<Upstream<C>>) -> bool,
        now: Time,
        draw: u64,
    ) -> Option<Lease<C>> {
        let [one, other] = two_indices(tier.len(), draw);
        let (mut best, mut second) = (&tier[one], &tier[other]);
        if second.cost(now) < best.cost(now) {
            (best, second) = (second, best);
        }
        let rest = tier[one..].iter().chain(&tier[..one]);
        [best, second]
            .into_iter()
            .chain(rest)
            .filter(|u| untried(u))
            .find_map(|u| Lease::try_acquire(u, self, now))
    }

    /// Ejects `upstream` unless too many upstreams of the pool are unhealthy.
    ///
    /// At most half of a pool is ejected or probing at once. Otherwise a failure common to all
    /// upstreams would eject the whole pool, and callers would be refused without any upstream
    /// being tried.
    pub(crate) fn eject(&self, upstream: &Upstream<C>, now: Time) {
        let _lock = self
            .shared
            .ejection_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match upstream.health_state(now) {
            HealthState::Ejected => return,
            HealthState::Probing => return upstream.health.eject(now),
            HealthState::Healthy => {}
        }
        let all = self.upstreams().count();
        let unhealthy = self
            .upstreams()
            .filter(|u| u.health_state(now) != HealthState::Healthy);
        if unhealthy.count() < all / 2 {
            upstream.health.eject(now);
        }
    }

    /// Recent time to the head of a response, averaged over the upstreams.
    pub(crate) fn latency(&self, now: Time) -> Duration {
        let (mut sum, mut count) = (0, 0);
        for upstream in self.upstreams() {
            sum += upstream.health.latency(now);
            count += 1;
        }
        Duration::from_micros(sum / u64::max(count, 1))
    }

    /// Slots that this entry may use at `now`, including those in use.
    pub(crate) fn usable(&self, now: Time) -> u32 {
        self.upstreams().map(|u| u.usable(now)).sum()
    }
}

/// Returns two indices below `len`, which differ if `len` is at least two.
fn two_indices(len: usize, draw: u64) -> [usize; 2] {
    let scale = |r: u64, len: usize| ((r * len as u64) >> 32) as usize;
    let one = scale(draw >> 32, len);
    if len < 2 {
        return [one, one];
    }
    let step = 1 + scale(draw & u64::from(u32::MAX), len - 1);
    [one, (one + step) % len]
}
