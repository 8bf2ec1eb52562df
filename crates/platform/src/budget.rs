//! The log's append budget.

use std::time::Duration;

use cactuswheel_model::Time;

/// What an append is for; each use has its own budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendPurpose {
    /// Operators' tickets.
    Ticket,
    /// Records that entries propose by themselves.
    Control,
}

impl AppendPurpose {
    /// Every use.
    pub const ALL: [Self; 2] = [Self::Ticket, Self::Control];

    /// Appends a second that one entry makes in the long run, however many records wait.
    ///
    /// The log takes several hundred a second; 75 entries (three in each of 25 data centres)
    /// at 4 a second together stay below 300.
    pub const fn rate(self) -> u32 {
        match self {
            Self::Ticket | Self::Control => 2,
        }
    }
}

/// Spaces the appends of one use: a token bucket.
#[derive(Debug, Clone)]
pub struct AppendBudget {
    /// Time for one more append.
    gap: Duration,
    /// Invariant: at most `BURST` gaps in the past.
    next_free: Time,
}

/// Appends that may follow each other at once after a quiet time.
const BURST: u32 = 4;

impl AppendBudget {
    /// A full budget.
    pub fn new(of: AppendPurpose) -> Self {
        Self {
            gap: Duration::from_secs(1) / of.rate(),
            next_free: Time::default(),
        }
    }

    /// Takes one append; the time to wait before it is made.
    pub fn take(&mut self, now: Time) -> Duration {
        let saved = self.gap * (BURST - 1);
        let earliest = now.get().saturating_sub(saved.as_millis() as u64);
        let at = self.next_free.max(Time::new(earliest));
        self.next_free = at.after(self.gap);
        at.since(now)
    }
}
