//! Passive health checking: the health of an upstream, judged by the outcomes of requests.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use cactuswheel_model::Time;

/// Whether an upstream may be selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// It may be selected without restriction.
    Healthy,
    /// Its ejection has expired: it gets one request at a time until one succeeds.
    Probing,
    /// It must not be selected.
    Ejected,
}

/// Consecutive failures and recent latency of an upstream.
///
/// The fields are read and written separately: a race between two outcomes may misjudge one of
/// them, which the next outcome corrects.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Number of failures since the last success.
    failures: AtomicU32,
    /// Number of ejections since the last success.
    ejections: AtomicU32,
    /// End of the current or last ejection as a [`Time`]; 0 if there was none since the last
    /// success.
    ejected_until: AtomicU64,
    /// Moving average of the time to the head of a response, in microseconds; 0 before the first
    /// response.
    mean_latency: AtomicU32,
    /// When `mean_latency` was last updated, as a [`Time`].
    updated_at: AtomicU64,
}

impl Health {
    /// Number of consecutive failures that lead to an ejection.
    pub(crate) const FAILURE_THRESHOLD: u32 = 3;

    /// Duration of the first ejection.
    pub(crate) const BASE_EJECTION: Duration = Duration::from_secs(1);

    /// Maximum number of times that the ejection is doubled: up to 32 s.
    const MAX_DOUBLINGS: u32 = 5;

    /// Time without responses after which the measured latency counts half.
    const LATENCY_HALF_LIFE: Duration = Duration::from_secs(2);

    /// The state of the upstream at `now`.
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

    /// Records a response whose head arrived after `took`.
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

    /// Records a failure; returns whether the upstream should be ejected.
    ///
    /// Failures during an ejection come from requests sent before it, and do not count.
    pub(crate) fn record_failure(&self, now: Time) -> bool {
        match self.state(now) {
            HealthState::Ejected => false,
            HealthState::Probing => true,
            HealthState::Healthy => {
                self.failures.fetch_add(1, Ordering::Relaxed) + 1 >= Self::FAILURE_THRESHOLD
            }
        }
    }

    /// Ejects the upstream; the duration doubles with each consecutive ejection.
    pub(crate) fn eject(&self, now: Time) {
        let ejections = self.ejections.fetch_add(1, Ordering::Relaxed);
        let pause = Self::BASE_EJECTION * (1 << ejections.min(Self::MAX_DOUBLINGS));
        self.ejected_until
            .store(now.after(pause).get(), Ordering::Relaxed);
    }

    /// Recent latency in microseconds, at least 1. It decays over time, so that a slow upstream is
    /// tried again.
    pub(crate) fn latency(&self, now: Time) -> u64 {
        let mean = self.mean_latency.load(Ordering::Relaxed);
        let idle = now.since(Time::new(self.updated_at.load(Ordering::Relaxed)));
        let halvings = (idle.as_millis() / Self::LATENCY_HALF_LIFE.as_millis()).min(31) as u32;
        u64::from(mean >> halvings).max(1)
    }
}
