//! Says what an owner takes of its link and processor.

use std::time::Duration;

use cactuswheel_model::{Map, Time};

use crate::peer_traffic::traffic_by_kind;

/// Time between two lines.
const EVERY: Duration = Duration::from_secs(5);

/// Says what an owner takes of its link and processor, a line every five seconds.
#[derive(Debug)]
pub(crate) struct OwnerStats {
    told: Time,
    /// Time at work since then.
    busy: Duration,
    /// Bytes out and in by kind of call, as of then.
    before: Map<&'static str, (u64, u64)>,
}

impl OwnerStats {
    pub(crate) fn new(now: Time) -> Self {
        let before = traffic_by_kind().map(|t| (t.kind, (t.sent, t.received)));
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
        let mut rates: Vec<(u64, u64, &str)> = Vec::new();
        let per_second = |bytes: u64| bytes * 1_000 / passed.as_millis().max(1) as u64;
        for t in traffic_by_kind() {
            let now = (t.sent, t.received);
            let (sent, received) = self.before.insert(t.kind, now).unwrap_or_default();
            rates.push((
                per_second(t.sent - sent),
                per_second(t.received - received),
                t.kind,
            ));
        }
        rates.sort_unstable_by_key(|(out, back, _)| std::cmp::Reverse(out + back));
        let out: u64 = rates.iter().map(|(out, ..)| out).sum();
        let back: u64 = rates.iter().map(|(_, back, _)| back).sum();
        let most = rates.iter().filter(|(out, back, _)| out + back > 0);
        let most: Vec<String> = most
            .map(|(out, back, kind)| format!("{kind}: {out}+{back}"))
            .collect();
        log::info!(
            busy_percent = percent, sent_per_s = out, received_per_s = back,
            relays = relays as u64, by = most.join(", ");
            "owner's calls"
        );
        Some(percent)
    }
}
