//! Utilisation of a node's network link.

use std::time::Duration;

use cactuswheel_model::Time;

use crate::link_rate::LinkRate;

/// Window over which the load is measured.
const WINDOW: Duration = Duration::from_millis(250);

/// Utilisation of one direction of a node's network link.
#[derive(Debug)]
pub struct LinkLoad {
    /// Share of the link above which its load is high.
    threshold: f64,
    /// Start of the window.
    window_start: Time,
    /// Bytes transferred up to the start of the window.
    window_bytes: u64,
    /// Whether the load was high in the last complete window.
    high: bool,
}

impl LinkLoad {
    /// Starts measuring a direction that has transferred `bytes` so far. Its load is high above the
    /// share `threshold` of the link.
    pub fn new(now: Time, bytes: u64, threshold: f64) -> Self {
        Self {
            threshold,
            window_start: now,
            window_bytes: bytes,
            high: false,
        }
    }

    /// Whether the load is high, given that `bytes` have been transferred so far.
    pub fn is_high(&mut self, now: Time, bytes: u64, link: LinkRate) -> bool {
        let passed = now.since(self.window_start);
        let used = (bytes - self.window_bytes) as f64 / link.bytes_in(WINDOW).max(1) as f64;
        let windows = passed.as_secs_f64() / WINDOW.as_secs_f64();
        if windows < 1.0 {
            // A burst is detected before its window is complete.
            return self.high || used > self.threshold;
        }
        self.high = used / windows > self.threshold;
        self.window_start = now;
        self.window_bytes = bytes;
        self.high
    }
}
