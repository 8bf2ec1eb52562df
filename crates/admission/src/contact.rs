//! How recently this entry was in contact with the log and its peers.

use cactuswheel_model::{Time, Timing};

/// The send times of the newest successful log read and lease renewal of this entry.
///
/// They decide whether the entry may still start work. The times at which requests were sent
/// count, not those at which responses arrived: a response may be outdated when it is processed,
/// but it was true at some moment after its request was sent.
#[derive(Debug, Default)]
pub struct LastContact {
    /// Send time of the newest log read after which no records were left unread.
    log: Option<Time>,
    /// Send time of the newest heartbeat that a peer answered with a renewal.
    peer: Option<Time>,
}

impl LastContact {
    /// Records that a log read sent at `sent` left no records unread.
    pub fn record_log_read(&mut self, sent: Time) {
        self.log = self.log.max(Some(sent));
    }

    /// Records that a peer renewed this entry in response to a heartbeat sent at `sent`.
    pub fn record_renewal(&mut self, sent: Time) {
        self.peer = self.peer.max(Some(sent));
    }

    /// Whether work may start at `now`.
    ///
    /// The log or a peer must have responded within the fence time, and the log within the
    /// cut-off time or the fence time, whichever is longer.
    pub fn is_recent(&self, now: Time, timing: Timing) -> bool {
        let within = |at: Option<Time>, millis: u64| {
            at.is_some_and(|at| now.since(at).as_millis() < u128::from(millis))
        };
        let recent = within(self.log, timing.fence) || within(self.peer, timing.fence);
        recent && within(self.log, timing.cut.max(timing.fence))
    }
}
