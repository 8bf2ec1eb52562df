//! How long ago the fleet was last heard of.

use cactuswheel_model::{Time, Timing};

/// Whether an entry may still start work, measured from what it asked itself.
///
/// Only the time at which a question was sent counts: an answer may be old when it is read,
/// but it was true at some moment after the question.
#[derive(Debug, Default)]
pub struct LastContact {
    /// When the newest question was sent that the log answered with nothing unread.
    log: Option<Time>,
    /// When the newest question was sent that a peer answered with a renewal.
    peer: Option<Time>,
}

impl LastContact {
    /// The log had nothing unread, asked at `sent`.
    pub fn record_log_read(&mut self, sent: Time) {
        self.log = self.log.max(Some(sent));
    }

    /// A peer renewed, asked at `sent`.
    pub fn record_renewal(&mut self, sent: Time) {
        self.peer = self.peer.max(Some(sent));
    }

    /// Whether work may start at `now`.
    pub fn is_recent(&self, now: Time, timing: Timing) -> bool {
        let within = |at: Option<Time>, millis: u64| {
            at.is_some_and(|at| now.since(at).as_millis() < u128::from(millis))
        };
        let recent = within(self.log, timing.fence) || within(self.peer, timing.fence);
        recent && within(self.log, timing.cut.max(timing.fence))
    }
}
