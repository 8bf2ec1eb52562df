//! Limits the work that is thrown away and the number of stops.

use cactuswheel_model::Time;

use crate::policy::PreemptPolicy;

/// Milliseconds in a second.
const SECOND_MS: u64 = 1_000;

/// Token bucket of a pool; it holds at most what one second allows.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    /// Work that may be thrown away now, in thousandths of a core times milliseconds.
    work: u64,
    /// Stops that are allowed now, in thousandths.
    stops: u64,
    /// Last refill; `None` before the first, which fills the bucket.
    filled: Option<Time>,
}

impl Budget {
    /// Adds what the time since the last call allows in a pool of `cpu` thousandths of a core.
    pub fn refill(&mut self, policy: &PreemptPolicy, cpu: u64, now: Time) {
        let passed = self.filled.map_or(SECOND_MS, |at| {
            (now.since(at).as_millis() as u64).min(SECOND_MS)
        });
        self.filled = Some(now);
        let work = cpu * u64::from(policy.lost_percent_per_s) / 100;
        let stops = u64::from(policy.stops_per_s);
        self.work = (self.work + work * passed).min(work * SECOND_MS);
        self.stops = (self.stops + stops * passed).min(stops * SECOND_MS);
    }

    /// Takes the cost of some stops; false, and nothing taken, if the budget does not cover it.
    pub fn take(&mut self, work: u64, stops: usize) -> bool {
        let stops = stops as u64 * SECOND_MS;
        if work > self.work || stops > self.stops {
            return false;
        }
        self.work -= work;
        self.stops -= stops;
        true
    }
}
