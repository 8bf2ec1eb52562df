//! How long to wait for an answer before asking again beside it.
//!
//! A pure estimator: it is told how long answers took and gives a time limit. It has no clock and
//! sends nothing. Whoever uses it has to make calls that are idempotent: the call that was not
//! waited for any longer may still be carried out.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Weights of the newest answer in the mean and in the deviation, as inverse powers of two: those
/// that TCP uses for its retransmission timer (RFC 6298).
const MEAN_SHIFT: u32 = 3;
const DEVIATION_SHIFT: u32 = 2;

/// Deviations beyond the mean that an answer may take, also from there.
const DEVIATIONS: u64 = 4;

/// Doublings of the limit at the most; the bound on it is reached before.
const MAX_DOUBLED: u32 = 6;

/// The time that answers of one peer take, and the limit that follows from it.
///
/// Answers a peer that is quick as a rule, loses an answer at times and turns slow by a factor of
/// a hundred at others. A fixed limit is wrong on both days: a short one makes a slow peer slower
/// with repeats, a long one holds everything up for each lost answer.
///
/// Callers on several tasks share one; two answers at the same moment may count as one, which
/// moves the estimate a little and harms nothing.
#[derive(Debug)]
pub struct RttEstimator {
    /// Least and longest limit.
    bounds: (Duration, Duration),
    /// Smoothed time of an answer in microseconds; 0 before the first.
    mean: AtomicU64,
    /// Its smoothed deviation in microseconds.
    deviation: AtomicU64,
    /// Limits that passed in a row.
    doubled: AtomicU32,
}

impl RttEstimator {
    /// An estimator whose limit stays between `least` and `most`.
    pub fn new(least: Duration, most: Duration) -> Self {
        Self {
            bounds: (least, most),
            mean: AtomicU64::new(0),
            deviation: AtomicU64::new(0),
            doubled: AtomicU32::new(0),
        }
    }

    /// Time to wait for the next answer.
    pub fn retry_timeout(&self) -> Duration {
        let (least, most) = self.bounds;
        let mean = self.mean.load(Ordering::Relaxed);
        let deviation = self.deviation.load(Ordering::Relaxed);
        let usual = Duration::from_micros(mean + DEVIATIONS * deviation).max(least);
        let doubled = self.doubled.load(Ordering::Relaxed);
        usual.saturating_mul(1 << doubled).min(most)
    }

    /// An answer came after `took`, counted from its own call.
    pub fn record_answer(&self, took: Duration) {
        let took = took
            .as_micros()
            .try_into()
            .unwrap_or(u64::MAX >> MEAN_SHIFT);
        let mean = self.mean.load(Ordering::Relaxed);
        let (mean, deviation) = match mean {
            0 => (took.max(1), took / 2),
            _ => {
                let deviation = self.deviation.load(Ordering::Relaxed);
                let off = mean.abs_diff(took);
                (
                    smoothed(mean, took, MEAN_SHIFT),
                    smoothed(deviation, off, DEVIATION_SHIFT),
                )
            }
        };
        self.mean.store(mean, Ordering::Relaxed);
        self.deviation.store(deviation, Ordering::Relaxed);
        self.doubled.store(0, Ordering::Relaxed);
    }

    /// The limit passed without an answer: the next one is twice as long.
    pub fn record_timeout(&self) {
        let doubled = self.doubled.load(Ordering::Relaxed);
        self.doubled
            .store((doubled + 1).min(MAX_DOUBLED), Ordering::Relaxed);
    }
}

fn smoothed(old: u64, new: u64, shift: u32) -> u64 {
    old - (old >> shift) + (new >> shift)
}
