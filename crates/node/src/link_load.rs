//! How much of its link a node takes.

use std::time::Duration;

use cactuswheel_model::Time;

use crate::link_rate::LinkRate;

/// Time over which the load is measured.
const WINDOW: Duration = Duration::from_millis(250);

/// How much of one direction of its link a node takes.
#[derive(Debug)]
pub struct LinkLoad {
    /// Share of the link above which its load is high.
    threshold: f64,
    /// Start of the window.
    window_start: Time,
    /// Bytes that had gone through before it.
    window_bytes: u64,
    /// Whether the load was high in the last whole window.
    high: bool,
}

impl LinkLoad {
    /// Of a direction through which so many bytes have gone by now; its load is high above this
    /// share of the link.
    pub fn new(now: Time, bytes: u64, threshold: f64) -> Self {
        Self {
            threshold,
            window_start: now,
            window_bytes: bytes,
            high: false,
        }
    }

    /// Whether the load is high, when so many bytes have gone through by now.
    pub fn is_high(&mut self, now: Time, bytes: u64, link: LinkRate) -> bool {
        let passed = now.since(self.window_start);
        let used = (bytes - self.window_bytes) as f64 / link.bytes_in(WINDOW).max(1) as f64;
        let windows = passed.as_secs_f64() / WINDOW.as_secs_f64();
        if windows < 1.0 {
            // A burst shows before its window is over.
            return self.high || used > self.threshold;
        }
        self.high = used / windows > self.threshold;
        self.window_start = now;
        self.window_bytes = bytes;
        self.high
    }
}
