//! How much of its link a node takes.

use std::time::Duration;

use cactuswheel_model::Time;

use crate::link_rate::LinkRate;

/// Time over which the load is measured.
const WINDOW: Duration = Duration::from_millis(250);

/// Share of the link above which its load is high.
const HIGH_SHARE: f64 = 0.25;

/// How much of its link a node's own sending takes.
#[derive(Debug)]
pub struct LinkLoad {
    /// Start of the window.
    since: Time,
    /// Bytes that were sent before it.
    before: u64,
    /// Whether the load was high in the last whole window.
    high: bool,
}

impl LinkLoad {
    /// Of a node that has sent so many bytes by now.
    pub fn new(now: Time, sent: u64) -> Self {
        Self {
            since: now,
            before: sent,
            high: false,
        }
    }

    /// Whether the load is high, when `sent` bytes were sent by now.
    pub fn is_high(&mut self, now: Time, sent: u64, link: LinkRate) -> bool {
        let passed = now.since(self.since);
        let taken = (sent - self.before) as f64 / link.bytes_in(WINDOW).max(1) as f64;
        let windows = passed.as_secs_f64() / WINDOW.as_secs_f64();
        if windows < 1.0 {
            // A burst shows before its window is over.
            return self.high || taken > HIGH_SHARE;
        }
        self.high = taken / windows > HIGH_SHARE;
        self.since = now;
        self.before = sent;
        self.high
    }
}
