//! Estimates when the owner's records were written, in terms of this node's clock.

use cactuswheel_model::Time;

/// Converts the send times of the owner's records to this node's clock.
///
/// Each record carries the owner's monotonic clock at the time of sending. The two clocks run at
/// the same rate but have unrelated origins, so their offset is estimated from the record with the
/// lowest observed latency. A node that reads several renewals at once therefore knows the age of
/// the newest one, and detects an expired ownership as early as a node that reads every renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerClock {
    /// Estimated send time of the newest record, or the time of the last failed read if that is
    /// later.
    last_heard: Time,
    /// Smallest difference observed between this node's clock and the owner's, in milliseconds.
    min_offset: Option<i64>,
}

impl OwnerClock {
    /// Creates a clock that counts the owner as heard from at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            last_heard: now,
            min_offset: None,
        }
    }

    /// When the owner was last heard from, on this node's clock.
    pub fn last_heard(&self) -> Time {
        self.last_heard
    }

    /// Discards the offset estimate, since the records that follow come from another owner.
    pub fn reset_offset(&mut self) {
        self.min_offset = None;
    }

    /// Processes a record read at `now` whose owner sent it at `clock` on its own clock, in
    /// milliseconds.
    pub fn observe(&mut self, now: Time, clock: u64) {
        let offset = now.get() as i64 - clock as i64;
        let smallest = self.min_offset.map_or(offset, |known| known.min(offset));
        self.min_offset = Some(smallest);
        let sent = Time::new((clock as i64 + smallest).max(0) as u64);
        self.last_heard = self.last_heard.max(sent);
    }

    /// Processes a failed read at `now`: time without the store does not count as silence of the
    /// owner.
    pub fn skip_outage(&mut self, now: Time) {
        self.last_heard = now;
    }
}
