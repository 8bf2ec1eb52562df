//! How many jobs a queue gets.

use std::collections::VecDeque;
use std::time::Duration;

use cactuswheel_cell::Arrivals;
use cactuswheel_model::Time;

/// Times over which jobs are counted, the longest first.
const WINDOWS: [Duration; 6] = [
    Duration::from_millis(8_000),
    Duration::from_millis(4_000),
    Duration::from_millis(2_000),
    Duration::from_millis(1_000),
    Duration::from_millis(500),
    Duration::from_millis(250),
];

/// Jobs that a queue gets in a second.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Flow {
    pub(crate) rate: f64,
    /// There are fewer of late than before, and chance does not explain it.
    pub(crate) fell: bool,
}

/// How many jobs a queue gets.
///
/// Answers load of which the pattern is not known. Under a steady load the longest window counts:
/// a pool that takes the noise of a few jobs for a surge sends instances to and fro. Where a
/// shorter window holds more or fewer jobs than chance explains, the load has changed, and the
/// shorter one counts: a queue that turns busy or falls silent shows within a quarter of a second.
#[derive(Debug, Default)]
pub(crate) struct Rate {
    /// Jobs that had arrived by then.
    seen: VecDeque<(Time, u64)>,
}

impl Rate {
    /// Takes in the jobs that have arrived; gives how many come in a second.
    ///
    /// `doubt` is the number of standard deviations that chance may explain.
    pub(crate) fn count(&mut self, now: Time, arrivals: &Arrivals, doubt: f64) -> Flow {
        if self.seen.is_empty() {
            self.remember(&arrivals.restored);
        }
        let jobs = arrivals.jobs;
        self.seen.push_back((now, jobs));
        while self.seen.len() > 2 && now.since(self.seen[1].0) >= WINDOWS[0] {
            self.seen.pop_front();
        }
        let (span, count) = self.within(now, jobs, WINDOWS[0]);
        let usual = count / span;
        let mut rate = usual;
        for window in &WINDOWS[1..] {
            let (span, count) = self.within(now, jobs, *window);
            let own = count / span;
            if !is_chance(count, rate * span, doubt) {
                rate = own;
            }
        }
        Flow {
            rate,
            fell: rate < usual,
        }
    }

    /// Begins with what an earlier owner has taken in.
    ///
    /// Failure: a new owner knows of no arrivals, takes a queue in its busiest second for a silent
    /// one, and sends the instances away that its jobs wait for.
    fn remember(&mut self, earlier: &[Time]) {
        let mut times = earlier.to_vec();
        times.sort_unstable();
        let counts = times.into_iter().zip(0..);
        self.seen.extend(counts);
    }

    /// Seconds that a window covers, and the jobs that have arrived in them.
    fn within(&self, now: Time, jobs: u64, window: Duration) -> (f64, f64) {
        let mut before = self.seen.iter().rev();
        let first = before.find(|(at, _)| now.since(*at) >= window);
        let first = first.or(self.seen.front());
        let (at, earlier) = first.copied().unwrap_or((now, jobs));
        let shortest = WINDOWS[WINDOWS.len() - 1];
        let span = now.since(at).max(shortest.min(window));
        (span.as_secs_f64(), jobs.saturating_sub(earlier) as f64)
    }
}

/// Whether `count` jobs where `expected` were to be expected may be chance.
fn is_chance(count: f64, expected: f64, doubt: f64) -> bool {
    // The bounds on the mean of a Poisson count.
    let middle = count + doubt * doubt / 2.0;
    let width = doubt * (count + doubt * doubt / 4.0).sqrt();
    (middle - width..=middle + width).contains(&expected)
}
