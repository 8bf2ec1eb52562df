//! Logs once a second how much work waits between acceptance and first start.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::ServiceName;

use crate::cell::Cell;

/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counters over the batches since the last log line.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    /// When the last log line was due.
    logged_at: Time,
    batches: u64,
    starts: u64,
    bytes: usize,
    /// Total time for which a batch was in flight.
    writing: Duration,
}

impl Backlog {
    /// Records a batch that is sent to the journal; `bytes` includes its orders.
    pub(crate) fn record_write(&mut self, starts: usize, bytes: usize) {
        self.batches += 1;
        self.starts += starts as u64;
        self.bytes += bytes;
    }

    /// Records that the journal holds a batch, which took `took`.
    pub(crate) fn record_append(&mut self, took: Duration) {
        self.writing += took;
    }
}

impl Cell {
    /// Logs the number of jobs that wait for a worker, for the journal or for their start order, if
    /// there are any.
    pub(crate) fn log_backlog(&mut self) {
        if self.now.since(self.backlog.logged_at) < LOG_INTERVAL {
            return;
        }
        let next = Backlog {
            logged_at: self.now,
            ..Backlog::default()
        };
        let last = std::mem::replace(&mut self.backlog, next);
        let waiting = self.wait_queue.len();
        let delay = self.start_delay(&ServiceName::from(""), None);
        if waiting == 0 && self.planned.is_empty() && self.deferred.is_empty() {
            return;
        }
        log::info!(
            waiting = waiting as u64, blocked = self.wait_queue.blocked_len() as u64, planned = self.planned.len() as u64,
            late = self.deferred.len() as u64, unwritten = self.dirty.len() as u64,
            batches = last.batches, starts = last.starts, bytes = last.bytes as u64,
            link_ms = delay.link.as_millis() as u64, room_ms = delay.room.as_millis() as u64,
            writing_ms = last.writing.as_millis() as u64;
            "backlog"
        );
    }
}
