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

/// Time before an outage from which enough jobs are still known to count their arrivals.
const KNOWN_BEFORE_OUTAGE: Duration = Duration::from_millis(1_500);

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
    /// Begin of the outage for which pools are held, and the rate then.
    held: Option<(Time, f64)>,
}

impl RateEstimator {
    /// Adds the current number of arrived jobs, and returns the arrival rate.
    ///
    /// `sigmas` is the number of standard deviations that are attributed to chance. `outage` is the
    /// begin of the outage for which pools are held; the rate does not fall below the one then, as
    /// arrivals could not be seen since.
    pub(crate) fn update(
        &mut self,
        now: Time,
        arrivals: &Arrivals,
        sigmas: f64,
        outage: Option<Time>,
    ) -> ArrivalRate {
        if self.samples.is_empty() {
            self.seed(&arrivals.restored, outage);
        }
        let jobs = arrivals.jobs;
        self.samples.push_back((now, jobs));
        while self.samples.len() > 2 && now.since(self.samples[1].0) >= WINDOWS[0] {
            self.samples.pop_front();
        }
        let estimate = self.estimate(now, jobs, sigmas);
        let Some(begin) = outage else {
            self.held = None;
            return estimate;
        };
        let held = match self.held {
            Some((at, rate)) if at == begin => rate,
            _ => self.rate_at(begin, sigmas),
        };
        self.held = Some((begin, held));
        ArrivalRate {
            rate: estimate.rate.max(held),
            declining: false,
        }
    }

    /// Estimates the rate at a time when `jobs` jobs had arrived, from the samples until then.
    fn estimate(&self, at: Time, jobs: u64, sigmas: f64) -> ArrivalRate {
        let (span, count) = self.count_within(at, jobs, WINDOWS[0]);
        let baseline = count / span;
        let mut rate = baseline;
        for window in &WINDOWS[1..] {
            let (span, count) = self.count_within(at, jobs, *window);
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

    /// Estimates the rate at an earlier time.
    fn rate_at(&self, time: Time, sigmas: f64) -> f64 {
        let mut samples = self.samples.iter().rev();
        let last = samples.find(|(at, _)| *at <= time);
        last.map_or(0.0, |(at, jobs)| self.estimate(*at, *jobs, sigmas).rate)
    }

    /// Starts with the arrivals that an earlier owner counted.
    ///
    /// Otherwise a new owner, which has seen no arrivals itself, takes a queue at its peak for an
    /// idle one and releases the instances that its jobs wait for.
    ///
    /// Most jobs that arrived long before an outage are done and no longer known, so only the last
    /// ones before it provide the rate.
    fn seed(&mut self, earlier: &[Time], outage: Option<Time>) {
        let mut times = earlier.to_vec();
        times.sort_unstable();
        let counts = times.into_iter().zip(0..);
        let known = |at: Time| outage.is_none_or(|o| o.since(at) <= KNOWN_BEFORE_OUTAGE);
        self.samples.extend(counts.filter(|(at, _)| known(*at)));
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
