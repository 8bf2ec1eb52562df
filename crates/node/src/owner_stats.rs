//! Says what an owner takes of its link and processor.

use std::time::Duration;

use cactuswheel_adapter::traffic;
use cactuswheel_model::{Map, Time};

/// Time between two lines.
const EVERY: Duration = Duration::from_secs(5);

/// Says what an owner takes of its link and processor, a line every five seconds.
#[derive(Debug)]
pub(crate) struct OwnerStats {
    told: Time,
    /// Time at work since then.
    busy: Duration,
    /// Bytes by kind of call, as of then.
    before: Map<&'static str, u64>,
}

impl OwnerStats {
    pub(crate) fn new(now: Time) -> Self {
        let before = traffic().map(|t| (t.kind, t.bytes));
        Self {
            told: now,
            busy: Duration::ZERO,
            before: before.collect(),
        }
    }

    /// The owner was at work for so long without a pause.
    pub(crate) fn busy(&mut self, time: Duration) {
        self.busy += time;
    }

    /// Writes the line, if it is time; gives the share of time at work, in percent.
    pub(crate) fn tell(&mut self, now: Time, relays: usize) -> Option<u64> {
        let passed = now.since(self.told);
        if passed < EVERY {
            return None;
        }
        self.told = now;
        let busy = std::mem::take(&mut self.busy);
        let percent = (busy.as_millis() * 100 / passed.as_millis().max(1)) as u64;
        let mut rates: Vec<(u64, &str)> = Vec::new();
        for t in traffic() {
            let before = self.before.insert(t.kind, t.bytes).unwrap_or_default();
            let rate = (t.bytes - before) * 1_000 / passed.as_millis().max(1) as u64;
            rates.push((rate, t.kind));
        }
        rates.sort_unstable();
        let all: u64 = rates.iter().map(|(rate, _)| rate).sum();
        let most = rates.iter().rev().filter(|(rate, _)| *rate > 0);
        let most: Vec<String> = most.map(|(rate, kind)| format!("{kind}: {rate}")).collect();
        log::info!(
            busy_percent = percent, bytes_per_s = all, relays = relays as u64, by = most.join(", ");
            "owner's calls"
        );
        Some(percent)
    }
}
