//! Logs how much of its network link and processor an owner uses.

use std::time::Duration;

use cactuswheel_model::{Map, Time};

use crate::peer_traffic::traffic_by_kind;

/// Interval between log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Logs an owner's network traffic and busy time, one line every five seconds.
#[derive(Debug)]
pub(crate) struct OwnerStats {
    /// When the last line was logged.
    logged: Time,
    /// Busy time since then.
    busy: Duration,
    /// Bytes sent and received by kind of call, as of that line.
    totals: Map<&'static str, (u64, u64)>,
}

impl OwnerStats {
    /// Starts counting at `now`.
    pub(crate) fn new(now: Time) -> Self {
        let totals = traffic_by_kind().map(|t| (t.kind, (t.sent, t.received)));
        Self {
            logged: now,
            busy: Duration::ZERO,
            totals: totals.collect(),
        }
    }

    /// Adds time that the owner spent in one iteration of its event loop.
    pub(crate) fn add_busy(&mut self, time: Duration) {
        self.busy += time;
    }

    /// Logs a line if one is due, and returns the share of busy time since the last one, in
    /// percent.
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
        for t in traffic_by_kind() {
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
            "owner load"
        );
        Some(percent)
    }
}
