//! Health of an upstream, judged by what became of requests.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use cactuswheel_model::Time;

/// Whether an upstream may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// Like any other.
    Healthy,
    /// For one request at a time, until one succeeds.
    Probing,
    /// Not at all.
    Ejected,
}

/// Consecutive failures and recent latency of an upstream.
///
/// The parts are read and written one by one: a race between two outcomes misjudges one of
/// them, and the next outcome mends that.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Failures since the last success.
    failures: AtomicU32,
    /// Ejections since the last success.
    ejections: AtomicU32,
    /// End of the ejection as a [`Time`]; 0 if there is none.
    ejected_until: AtomicU64,
    /// Smoothed time to the head of an answer, in microseconds; 0 before the first.
    mean_latency: AtomicU32,
    /// When `mean` was last fed, as a [`Time`].
    updated_at: AtomicU64,
}

impl Health {
    /// Failures in a row that eject.
    pub(crate) const FAILURE_THRESHOLD: u32 = 3;

    /// The first ejection.
    pub(crate) const BASE_EJECTION: Duration = Duration::from_secs(1);

    /// Doublings of the ejection at most: 32 s.
    const MAX_DOUBLINGS: u32 = 5;

    /// Time in which an old latency counts half.
    const LATENCY_HALF_LIFE: Duration = Duration::from_secs(2);

    /// Whether the upstream may be chosen at `now`.
    pub(crate) fn state(&self, now: Time) -> HealthState {
        let until = self.ejected_until.load(Ordering::Relaxed);
        if until == 0 {
            return HealthState::Healthy;
        }
        match now < Time::new(until) {
            true => HealthState::Ejected,
            false => HealthState::Probing,
        }
    }

    /// Notes an answer whose head came after `took`.
    pub(crate) fn record_success(&self, took: Duration, now: Time) {
        if self.failures.load(Ordering::Relaxed) != 0 {
            self.failures.store(0, Ordering::Relaxed);
        }
        if self.ejected_until.load(Ordering::Relaxed) != 0 {
            self.ejections.store(0, Ordering::Relaxed);
            self.ejected_until.store(0, Ordering::Relaxed);
        }
        let took = u32::try_from(took.as_micros())
            .unwrap_or(u32::MAX / 8)
            .max(1);
        let mean = self.mean_latency.load(Ordering::Relaxed);
        let next = match mean {
            0 => took,
            _ => (mean / 8 * 7).saturating_add(took / 8).max(1),
        };
        self.mean_latency.store(next, Ordering::Relaxed);
        self.updated_at.store(now.get(), Ordering::Relaxed);
    }

    /// Notes a failure; whether the upstream ought to be ejected.
    ///
    /// Failures of requests sent before an ejection do not count again.
    pub(crate) fn record_failure(&self, now: Time) -> bool {
        match self.state(now) {
            HealthState::Ejected => false,
            HealthState::Probing => true,
            HealthState::Healthy => {
                self.failures.fetch_add(1, Ordering::Relaxed) + 1 >= Self::FAILURE_THRESHOLD
            }
        }
    }

    /// Ejects until a time that grows with every ejection in a row.
    pub(crate) fn eject(&self, now: Time) {
        let ejections = self.ejections.fetch_add(1, Ordering::Relaxed);
        let pause = Self::BASE_EJECTION * (1 << ejections.min(Self::MAX_DOUBLINGS));
        self.ejected_until
            .store(now.after(pause).get(), Ordering::Relaxed);
    }

    /// Recent latency in microseconds, at least 1; it fades, so that a slow upstream is tried
    /// again.
    pub(crate) fn latency(&self, now: Time) -> u64 {
        let mean = self.mean_latency.load(Ordering::Relaxed);
        let idle = now.since(Time::new(self.updated_at.load(Ordering::Relaxed)));
        let halvings = (idle.as_millis() / Self::LATENCY_HALF_LIFE.as_millis()).min(31) as u32;
        u64::from(mean >> halvings).max(1)
    }
}
