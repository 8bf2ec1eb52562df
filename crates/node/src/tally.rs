//! Says what an owner's calls took of its link.

use std::time::Duration;

use cactuswheel_adapter::traffic;
use cactuswheel_model::{Map, Time};

/// Time between two lines.
const EVERY: Duration = Duration::from_secs(5);

/// Says what an owner's calls took of its link, a line every five seconds.
#[derive(Debug)]
pub(crate) struct Tally {
    told: Time,
    /// Bytes by kind of call, as of then.
    before: Map<&'static str, u64>,
}

impl Tally {
    pub(crate) fn new(now: Time) -> Self {
        let before = traffic().map(|t| (t.kind, t.bytes));
        Self {
            told: now,
            before: before.collect(),
        }
    }

    pub(crate) fn tell(&mut self, now: Time, relays: usize) {
        let passed = now.since(self.told);
        if passed < EVERY {
            return;
        }
        self.told = now;
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
            bytes_per_s = all, relays = relays as u64, by = most.join(", ");
            "owner's calls"
        );
    }
}
