//! Estimate of the rate at which jobs arrive in a queue.

use std::collections::VecDeque;
use std::time::Duration;

use cactuswheel_cell::Arrivals;
use cactuswheel_model::Time;

/// Windows over which arrivals are counted, longest first.
const WINDOWS: [Duration; 6] = [
    Duration::from_millis(8_000),
    Duration::from_millis(4_000),
    Duration::from_millis(2_000),
    Duration::from_millis(1_000),
    Duration::from_millis(500),
    Duration::from_millis(250),
];

/// Estimated arrivals of a queue, in jobs per second.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ArrivalRate {
    pub(crate) rate: f64,
    /// Fewer jobs arrive than before, and chance does not explain the difference.
    pub(crate) declining: bool,
}

/// Estimates the rate at which jobs arrive in a queue.
///
/// The pattern of the load is unknown. Under a steady load the longest window counts, since a pool
/// that takes the noise of a few jobs for a surge moves instances back and forth. If a shorter
/// window holds more or fewer jobs than chance explains, the load has changed, and the shorter
/// window counts: a queue whose arrivals surge or stop is detected within a quarter of a second.
#[derive(Debug, Default)]
pub(crate) struct RateEstimator {
    /// Total number of jobs that had arrived at each time.
    samples: VecDeque<(Time, u64)>,
}

impl RateEstimator {
    /// Adds the current number of arrived jobs, and returns the arrival rate.
    ///
    /// `sigmas` is the number of standard deviations that are attributed to chance.
    pub(crate) fn update(&mut self, now: Time, arrivals: &Arrivals, sigmas: f64) -> ArrivalRate {
        if self.samples.is_empty() {
            self.seed(&arrivals.restored);
        }
        let jobs = arrivals.jobs;
        self.samples.push_back((now, jobs));
        while self.samples.len() > 2 && now.since(self.samples[1].0) >= WINDOWS[0] {
            self.samples.pop_front();
        }
        let (span, count) = self.count_within(now, jobs, WINDOWS[0]);
        let baseline = count / span;
        let mut rate = baseline;
        for window in &WINDOWS[1..] {
            let (span, count) = self.count_within(now, jobs, *window);
            let observed = count / span;
            if !is_noise(count, rate * span, sigmas) {
                rate = observed;
            }
        }
        ArrivalRate {
            rate,
            declining: rate < baseline,
        }
    }

    /// Starts with the arrivals that an earlier owner counted.
    ///
    /// Otherwise a new owner, which has seen no arrivals itself, takes a queue at its peak for an
    /// idle one and releases the instances that its jobs wait for.
    fn seed(&mut self, earlier: &[Time]) {
        let mut times = earlier.to_vec();
        times.sort_unstable();
        let counts = times.into_iter().zip(0..);
        self.samples.extend(counts);
    }

    /// Returns the time in seconds that a window covers, and the number of jobs that arrived in it.
    fn count_within(&self, now: Time, jobs: u64, window: Duration) -> (f64, f64) {
        let mut before = self.samples.iter().rev();
        let first = before.find(|(at, _)| now.since(*at) >= window);
        let first = first.or(self.samples.front());
        let (at, earlier) = first.copied().unwrap_or((now, jobs));
        let shortest = WINDOWS[WINDOWS.len() - 1];
        let span = now.since(at).max(shortest.min(window));
        (span.as_secs_f64(), jobs.saturating_sub(earlier) as f64)
    }
}

/// Whether chance explains `count` jobs if `expected` were expected.
fn is_noise(count: f64, expected: f64, sigmas: f64) -> bool {
    // Confidence bounds of the mean of a Poisson count.
    let center = count + sigmas * sigmas / 2.0;
    let width = sigmas * (count + sigmas * sigmas / 4.0).sqrt();
    (center - width..=center + width).contains(&expected)
}
