//! Settings of preemption.

use std::time::Duration;

use serde::Deserialize;

/// Settings of preemption.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PreemptPolicy {
    /// Whether runs are stopped for waiting work at all.
    pub enabled: bool,
    /// Whether runs that are in time but beyond their team's share are stopped for work within its
    /// team's share.
    pub over_share: bool,
    /// Work that may be thrown away in a second, in percent of what the pool does in a second.
    pub lost_percent_per_s: u32,
    /// Number of runs of a pool that may be stopped in a second.
    pub stops_per_s: u32,
    /// Number of times that a task may be stopped in its life.
    pub stops_per_task: u32,
    /// Shortest time between two decisions for a pool, in milliseconds.
    pub interval_ms: u64,
    /// Number of workers that a decision looks at.
    pub workers: u32,
}

impl Default for PreemptPolicy {
    fn default() -> Self {
        Self {
            enabled: false,
            over_share: true,
            lost_percent_per_s: 5,
            stops_per_s: 40,
            stops_per_task: 1,
            interval_ms: 100,
            workers: 96,
        }
    }
}

/// Longest time between two decisions, in milliseconds: room for work that waits is of no use after
/// a minute.
const MAX_INTERVAL_MS: u64 = 60_000;

/// Largest number of workers that a decision may look at; it bounds the cost of a scheduling cycle.
const MAX_WORKERS: u32 = 1_000;

impl PreemptPolicy {
    /// Returns the settings key of the first parameter that is out of range, and the allowed range.
    pub fn validate(&self) -> Option<(&'static str, &'static str)> {
        if self.lost_percent_per_s > 100 {
            return Some(("lost_percent_per_s", "has to be from 0 to 100"));
        }
        if self.interval_ms > MAX_INTERVAL_MS {
            return Some(("interval_ms", "has to be a minute at most"));
        }
        let many = self.workers > MAX_WORKERS;
        many.then_some(("workers", "has to be at most 1000"))
    }

    /// Shortest time between two decisions for a pool.
    pub fn interval(&self) -> Duration {
        Duration::from_millis(self.interval_ms)
    }
}
