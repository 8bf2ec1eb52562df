//! What waits between a job's acceptance and its first start, told once a second.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::ServiceName;

use crate::cell::Cell;

/// Time between two lines.
const EVERY: Duration = Duration::from_secs(1);

/// What batches have taken since the last line.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    logged: Time,
    batches: u64,
    starts: u64,
    bytes: usize,
    /// Time for which a batch was under way.
    writing: Duration,
}

impl Backlog {
    /// A batch with so many bytes, orders included, is under way.
    pub(crate) fn wrote(&mut self, starts: usize, bytes: usize) {
        self.batches += 1;
        self.starts += starts as u64;
        self.bytes += bytes;
    }

    /// The journal holds it, after so long.
    pub(crate) fn appended(&mut self, took: Duration) {
        self.writing += took;
    }
}

impl Cell {
    /// Tells what waits for a worker, for the journal or for its order, if anything does.
    pub(crate) fn log_backlog(&mut self) {
        if self.now.since(self.backlog.logged) < EVERY {
            return;
        }
        let told = Backlog {
            logged: self.now,
            ..Backlog::default()
        };
        let was = std::mem::replace(&mut self.backlog, told);
        let waiting = self.wait_queue.len();
        let waits = self.waits(&ServiceName::from(""));
        if waiting == 0 && self.planned.is_empty() && self.deferred.is_empty() {
            return;
        }
        log::info!(
            waiting = waiting as u64, planned = self.planned.len() as u64,
            late = self.deferred.len() as u64, unwritten = self.dirty.len() as u64,
            batches = was.batches, starts = was.starts, bytes = was.bytes as u64,
            link_ms = waits.link.as_millis() as u64, room_ms = waits.room.as_millis() as u64,
            writing_ms = was.writing.as_millis() as u64;
            "backlog"
        );
    }
}
