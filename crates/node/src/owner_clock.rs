//! When the owner's records were written, as far as a node can tell.

use cactuswheel_model::Time;

/// Dates the owner's records on this node's clock.
///
/// A record names the owner's steady clock when it was sent. The two clocks have nothing in
/// common but their pace; of all records that were read, the one that came quickest ties them
/// together. So a node that reads several renewals at once knows how old the newest is, and
/// takes an ownership over as soon as one that reads each of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerClock {
    /// When the newest record came, or the store came back.
    last_heard: Time,
    /// Least difference seen between this node's clock and the owner's, in milliseconds.
    min_offset: Option<i64>,
}

impl OwnerClock {
    /// Nothing was heard yet.
    pub fn new(now: Time) -> Self {
        Self {
            last_heard: now,
            min_offset: None,
        }
    }

    /// When the owner was last heard of.
    pub fn last_heard(&self) -> Time {
        self.last_heard
    }

    /// Another owner's records follow: its clock is another one.
    pub fn reset_offset(&mut self) {
        self.min_offset = None;
    }

    /// A record was read that was sent at `clock` of its owner.
    pub fn observe(&mut self, now: Time, clock: u64) {
        let offset = now.get() as i64 - clock as i64;
        let smallest = self.min_offset.map_or(offset, |before| before.min(offset));
        self.min_offset = Some(smallest);
        let sent = Time::new((clock as i64 + smallest).max(0) as u64);
        self.last_heard = self.last_heard.max(sent);
    }

    /// The store cannot be read: time without it does not count.
    pub fn skip_outage(&mut self, now: Time) {
        self.last_heard = now;
    }
}
