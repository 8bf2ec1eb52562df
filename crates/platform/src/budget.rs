//! Rate limit of appends to the log.

use std::time::Duration;

use cactuswheel_model::Time;

/// The purpose of an append; each purpose has its own rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendPurpose {
    /// Tickets of operators.
    Ticket,
    /// Records that entries propose on their own.
    Control,
}

impl AppendPurpose {
    /// All purposes.
    pub const ALL: [Self; 2] = [Self::Ticket, Self::Control];

    /// Maximum sustained rate of one entry, in appends per second, regardless of how many records
    /// are queued.
    ///
    /// The log accepts several hundred appends per second. With 75 entries (three in each of 25
    /// data centres) at 4 appends per second each, over both purposes, the total is 300 appends
    /// per second at most.
    pub const fn rate(self) -> u32 {
        match self {
            Self::Ticket | Self::Control => 2,
        }
    }
}

/// Token bucket that limits the appends of one purpose.
#[derive(Debug, Clone)]
pub struct AppendBudget {
    /// Time between two appends at the sustained rate.
    gap: Duration,
    /// Time at which the next append is allowed; may be in the past.
    ///
    /// Invariant: at most `BURST` gaps in the past.
    next_free: Time,
}

/// Number of appends allowed without a delay after an idle period.
const BURST: u32 = 4;

impl AppendBudget {
    /// Creates a full token bucket.
    pub fn new(of: AppendPurpose) -> Self {
        Self {
            gap: Duration::from_secs(1) / of.rate(),
            next_free: Time::default(),
        }
    }

    /// Takes a token and returns the time to wait before the append may be sent.
    pub fn take(&mut self, now: Time) -> Duration {
        let saved = self.gap * (BURST - 1);
        let earliest = now.get().saturating_sub(saved.as_millis() as u64);
        let at = self.next_free.max(Time::new(earliest));
        self.next_free = at.after(self.gap);
        at.since(now)
    }
}
