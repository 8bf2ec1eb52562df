//! The upstreams of one pool.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactuswheel_model::{PoolId, Time};

use crate::health::HealthState;
use crate::{Lease, Nearness, RetryBudget, Upstream};

/// What a pool keeps while its upstreams come and go.
#[derive(Debug, Default)]
pub(crate) struct SharedState {
    /// Retries of requests to the pool.
    pub(crate) budget: RetryBudget,
    /// Held while an ejection is decided, so that two at once cannot pass the bound.
    ejection_lock: Mutex<()>,
}

/// Upstreams by how near they are.
#[derive(Debug)]
pub(crate) struct Pool<C> {
    pub(crate) id: PoolId,
    /// Nearest first.
    ///
    /// Invariant: none is empty.
    tiers: Vec<(Nearness, Vec<Arc<Upstream<C>>>)>,
    pub(crate) shared: Arc<SharedState>,
}

impl<C> Pool<C> {
    /// A pool without upstreams.
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

    /// Takes a slot in the nearest tier that has one.
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

    /// The cheaper of two random upstreams; if both are full, the first that is not.
    ///
    /// Two choices keep the load nearly even without a look at every upstream, and unlike the
    /// least loaded of all they don't send every entry to the same one.
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

    /// Whether `upstream` may be ejected.
    ///
    /// At most half of a pool is out or on trial at once. A failure that all upstreams share
    /// would otherwise eject the whole pool, and callers would be refused by upstreams that
    /// nobody asks any more.
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

    /// Recent time to the head of an answer, on average over the upstreams.
    pub(crate) fn latency(&self, now: Time) -> Duration {
        let (mut sum, mut count) = (0, 0);
        for upstream in self.upstreams() {
            sum += upstream.health.latency(now);
            count += 1;
        }
        Duration::from_micros(sum / u64::max(count, 1))
    }

    /// Slots that may be counted on at `now`, taken ones included.
    pub(crate) fn usable(&self, now: Time) -> u32 {
        self.upstreams().map(|u| u.usable(now)).sum()
    }
}

/// Two indices below `len`, different if there are two.
fn two_indices(len: usize, draw: u64) -> [usize; 2] {
    let scale = |r: u64, len: usize| ((r * len as u64) >> 32) as usize;
    let one = scale(draw >> 32, len);
    if len < 2 {
        return [one, one];
    }
    let step = 1 + scale(draw & u64::from(u32::MAX), len - 1);
    [one, (one + step) % len]
}
