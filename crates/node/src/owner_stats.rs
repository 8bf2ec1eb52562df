//! Says what an owner takes of its link and processor.

use std::time::Duration;

use cactuswheel_model::{Map, Time};

use crate::peer_traffic::link_use;

/// Time between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Says what an owner takes of its link and processor, a line every five seconds.
#[derive(Debug)]
pub(crate) struct OwnerStats {
    logged: Time,
    /// Time at work since then.
    busy: Duration,
    /// Bytes out and in by kind of call, as of then.
    totals: Map<&'static str, (u64, u64)>,
}

impl OwnerStats {
    pub(crate) fn new(now: Time) -> Self {
        let totals = link_use().map(|t| (t.kind, (t.sent, t.received)));
        Self {
            logged: now,
            busy: Duration::ZERO,
            totals: totals.collect(),
        }
    }

    /// The owner was at work for so long without a pause.
    pub(crate) fn add_busy(&mut self, time: Duration) {
        self.busy += time;
    }

    /// Writes the line, if it is time; gives the share of time at work, in percent.
    pub(crate) fn log_due(&mut self, now: Time, relays: usize) -> Option<u64> {
        let passed = now.since(self.logged);
        if passed < LOG_INTERVAL {
            return None;
        }
        self.logged = now;
        let busy = std::mem::take(&mut self.busy);
        let percent = (busy.as_millis() * 100 / passed.as_millis().max(1)) as u64;
        let mut rates: Vec<(u64, u64, &str)> = Vec::new();
        let per_second = |bytes: u64| bytes * 1_000 / passed.as_millis().max(1) as u64;
        for t in link_use() {
            let now = (t.sent, t.received);
            let (sent, received) = self.totals.insert(t.kind, now).unwrap_or_default();
            rates.push((
                per_second(t.sent - sent),
                per_second(t.received - received),
                t.kind,
            ));
        }
        rates.sort_unstable_by_key(|(outbound, inbound, _)| std::cmp::Reverse(outbound + inbound));
        let outbound: u64 = rates.iter().map(|(outbound, ..)| outbound).sum();
        let inbound: u64 = rates.iter().map(|(_, inbound, _)| inbound).sum();
        let busiest = rates
            .iter()
            .filter(|(outbound, inbound, _)| outbound + inbound > 0);
        let busiest: Vec<String> = busiest
            .map(|(outbound, inbound, kind)| format!("{kind}: {outbound}+{inbound}"))
            .collect();
        log::info!(
            busy_percent = percent, sent_per_s = outbound, received_per_s = inbound,
            relays = relays as u64, by = busiest.join(", ");
            "owner's calls"
        );
        Some(percent)
    }
}
