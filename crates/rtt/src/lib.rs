//! Estimates how long to wait for the answer to a call before repeating the call.
//!
//! The estimator has no clock and does no I/O: its user records how long answers took and asks for
//! the timeout. Calls have to be idempotent, as a call that timed out may still be carried out
//! beside its repetition.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Weights of the newest answer in the mean and in the deviation, as negative powers of two; the
/// weights of TCP's retransmission timer (RFC 6298).
const MEAN_SHIFT: u32 = 3;
const DEVIATION_SHIFT: u32 = 2;

/// Number of deviations that the timeout is above the mean; also from RFC 6298.
const DEVIATION_FACTOR: u64 = 4;

/// Maximum number of times that the timeout is doubled. Its upper bound is reached earlier.
const MAX_DOUBLINGS: u32 = 6;

/// Estimates the round-trip time of calls to a peer, and the timeout after which to repeat a call.
///
/// A peer may be fast most of the time, lose an answer now and then, and at other times become
/// slower by a factor of a hundred. A fixed timeout does not fit both: a short one makes a slow
/// peer even slower through repeated calls, and a long one delays everything after each lost
/// answer.
///
/// Several tasks may share an estimator. If two of them record an answer at the same moment, one of
/// the two may be lost; this changes the estimate only slightly and does no harm.
#[derive(Debug)]
pub struct RttEstimator {
    /// Lower and upper bound of the timeout.
    bounds: (Duration, Duration),
    /// Smoothed round-trip time in microseconds; 0 before the first answer.
    mean: AtomicU64,
    /// Smoothed deviation of the round-trip time in microseconds.
    deviation: AtomicU64,
    /// Number of timeouts since the last answer, at most [`MAX_DOUBLINGS`].
    timeouts: AtomicU32,
}

impl RttEstimator {
    /// An estimator whose timeout stays between `lower` and `upper`.
    pub fn new(lower: Duration, upper: Duration) -> Self {
        Self {
            bounds: (lower, upper),
            mean: AtomicU64::new(0),
            deviation: AtomicU64::new(0),
            timeouts: AtomicU32::new(0),
        }
    }

    /// How long to wait for the next answer before the call is repeated.
    pub fn retry_timeout(&self) -> Duration {
        let (lower, upper) = self.bounds;
        let mean = self.mean.load(Ordering::Relaxed);
        let deviation = self.deviation.load(Ordering::Relaxed);
        let estimate = Duration::from_micros(mean + DEVIATION_FACTOR * deviation).max(lower);
        let timeouts = self.timeouts.load(Ordering::Relaxed);
        estimate.saturating_mul(1 << timeouts).min(upper)
    }

    /// Records an answer that was received `rtt` after the call that it answers was sent.
    pub fn record_answer(&self, rtt: Duration) {
        let rtt = rtt.as_micros().try_into().unwrap_or(u64::MAX >> MEAN_SHIFT);
        let mean = self.mean.load(Ordering::Relaxed);
        let (mean, deviation) = match mean {
            0 => (rtt.max(1), rtt / 2),
            _ => {
                let deviation = self.deviation.load(Ordering::Relaxed);
                let difference = mean.abs_diff(rtt);
                (
                    smooth(mean, rtt, MEAN_SHIFT),
                    smooth(deviation, difference, DEVIATION_SHIFT),
                )
            }
        };
        self.mean.store(mean, Ordering::Relaxed);
        self.deviation.store(deviation, Ordering::Relaxed);
        self.timeouts.store(0, Ordering::Relaxed);
    }

    /// Records a timeout without an answer; the next timeout is twice as long.
    pub fn record_timeout(&self) {
        let timeouts = self.timeouts.load(Ordering::Relaxed);
        self.timeouts
            .store((timeouts + 1).min(MAX_DOUBLINGS), Ordering::Relaxed);
    }
}

fn smooth(old: u64, new: u64, shift: u32) -> u64 {
    old - (old >> shift) + (new >> shift)
}
