//! Health of an upstream, judged by what became of requests.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use cactuswheel_model::Time;

/// Whether an upstream may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Like any other.
    Fit,
    /// For one request at a time, until one succeeds.
    Trial,
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
    rounds: AtomicU32,
    /// End of the ejection as a [`Time`]; 0 if there is none.
    until: AtomicU64,
    /// Smoothed time to the head of an answer, in microseconds; 0 before the first.
    mean: AtomicU32,
    /// When `mean` was last fed, as a [`Time`].
    fed: AtomicU64,
}

impl Health {
    /// Failures in a row that eject.
    pub(crate) const FAILURES: u32 = 3;

    /// The first ejection.
    pub(crate) const FIRST: Duration = Duration::from_secs(1);

    /// Doublings of the ejection at most: 32 s.
    const DOUBLINGS: u32 = 5;

    /// Time in which an old latency counts half.
    const HALF_LIFE: Duration = Duration::from_secs(2);

    /// Whether the upstream may be chosen at `now`.
    pub(crate) fn standing(&self, now: Time) -> Standing {
        let until = self.until.load(Ordering::Relaxed);
        if until == 0 {
            return Standing::Fit;
        }
        match now < Time::new(until) {
            true => Standing::Ejected,
            false => Standing::Trial,
        }
    }

    /// Notes an answer whose head came after `took`.
    pub(crate) fn succeed(&self, took: Duration, now: Time) {
        if self.failures.load(Ordering::Relaxed) != 0 {
            self.failures.store(0, Ordering::Relaxed);
        }
        if self.until.load(Ordering::Relaxed) != 0 {
            self.rounds.store(0, Ordering::Relaxed);
            self.until.store(0, Ordering::Relaxed);
        }
        let took = u32::try_from(took.as_micros())
            .unwrap_or(u32::MAX / 8)
            .max(1);
        let mean = self.mean.load(Ordering::Relaxed);
        let next = match mean {
            0 => took,
            _ => (mean / 8 * 7).saturating_add(took / 8).max(1),
        };
        self.mean.store(next, Ordering::Relaxed);
        self.fed.store(now.get(), Ordering::Relaxed);
    }

    /// Notes a failure; whether the upstream ought to be ejected.
    ///
    /// Failures of requests sent before an ejection do not count again.
    pub(crate) fn fail(&self, now: Time) -> bool {
        match self.standing(now) {
            Standing::Ejected => false,
            Standing::Trial => true,
            Standing::Fit => self.failures.fetch_add(1, Ordering::Relaxed) + 1 >= Self::FAILURES,
        }
    }

    /// Ejects until a time that grows with every ejection in a row.
    pub(crate) fn eject(&self, now: Time) {
        let rounds = self.rounds.fetch_add(1, Ordering::Relaxed);
        let pause = Self::FIRST * (1 << rounds.min(Self::DOUBLINGS));
        self.until.store(now.after(pause).get(), Ordering::Relaxed);
    }

    /// Recent latency in microseconds, at least 1; it fades, so that a slow upstream is tried
    /// again.
    pub(crate) fn latency(&self, now: Time) -> u64 {
        let mean = self.mean.load(Ordering::Relaxed);
        let idle = now.since(Time::new(self.fed.load(Ordering::Relaxed)));
        let halvings = (idle.as_millis() / Self::HALF_LIFE.as_millis()).min(31) as u32;
        u64::from(mean >> halvings).max(1)
    }
}
