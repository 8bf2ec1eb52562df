//! One life of one upstream, as seen by this entry.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use cactuswheel_model::{Incarnation, InstanceId, Slots, Time};

use crate::Candidate;
use crate::health::{Health, HealthState};
use crate::window::Window;

/// Added to the latency of each upstream, in microseconds, so that smaller differences between
/// upstreams hardly matter.
///
/// Without it, an upstream that is faster by microseconds would get all requests at low load, and
/// the latency of the others would never be measured again.
const LATENCY_FLOOR: u64 = 2_000;

/// The outcome of an attempt, as it concerns the health of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The head of a response arrived after this time.
    Answered(Duration),
    /// The upstream was full.
    Full,
    /// No connection, a broken connection, or a response that reports a failure of the upstream.
    Failed,
}

/// An upstream and the requests that this entry runs on it.
///
/// `C` is the state that the daemon keeps for the same life: its connections.
#[derive(Debug)]
pub struct Upstream<C> {
    /// The id of its instance.
    pub id: InstanceId,
    /// The life of the instance.
    pub incarnation: Incarnation,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Number of requests that it runs concurrently, from all entries together.
    pub slots: Slots,
    /// Maximum number of connections from this entry.
    pub conns: u32,
    /// State owned by the daemon.
    pub link: C,
    pub(crate) health: Health,
    window: Window,
    /// Number of running requests from this entry.
    ///
    /// Invariant: at most `slots` and `conns`; changed only by [`crate::Lease`]s.
    running: AtomicU32,
    /// Invariant: never reset to false; the next life is another upstream.
    leaving: AtomicBool,
}

impl<C: Default> Upstream<C> {
    /// Creates an upstream without running requests.
    pub fn new(candidate: Candidate) -> Self {
        let max_slots = candidate.slots.get().min(candidate.conns);
        Self {
            id: candidate.id,
            incarnation: candidate.incarnation,
            addr: candidate.addr,
            slots: candidate.slots,
            conns: candidate.conns,
            link: C::default(),
            health: Health::default(),
            window: Window::new(candidate.min_slots, max_slots),
            running: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
        }
    }
}

impl<C> Upstream<C> {
    /// Number of running requests from this entry.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Records the upstream's own announcement that it is leaving; returns whether that was new.
    pub fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::AcqRel)
    }

    /// Slots that this entry may use at `now`, including those in use.
    pub(crate) fn usable(&self, now: Time) -> u32 {
        if self.leaving.load(Ordering::Acquire) {
            return 0;
        }
        match self.health_state(now) {
            HealthState::Healthy => self.window.get(),
            HealthState::Probing => 1,
            HealthState::Ejected => 0,
        }
    }

    /// The health of the upstream at `now`.
    pub(crate) fn health_state(&self, now: Time) -> HealthState {
        self.health.state(now)
    }

    /// Relative cost of one more request; comparable only between upstreams.
    pub(crate) fn cost(&self, now: Time) -> u64 {
        (self.health.latency(now) + LATENCY_FLOOR) * u64::from(self.running() + 1)
    }

    /// Records the outcome of an attempt; returns whether the upstream should be ejected.
    pub(crate) fn record_outcome(&self, outcome: Outcome, now: Time) -> bool {
        match outcome {
            Outcome::Answered(took) => {
                self.health.record_success(took, now);
                self.window.grow();
                false
            }
            Outcome::Full => {
                self.window.shrink(self.running());
                false
            }
            Outcome::Failed => self.health.record_failure(now),
        }
    }

    /// Acquires a slot if one is free; returns whether it did.
    pub(crate) fn try_acquire(&self, now: Time) -> bool {
        let usable = self.usable(now);
        let add_one = |n: u32| (n < usable).then_some(n + 1);
        self.running
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, add_one)
            .is_ok()
    }

    /// Releases a slot.
    pub(crate) fn release(&self) {
        self.running.fetch_sub(1, Ordering::AcqRel);
    }
}
