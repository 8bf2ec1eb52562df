//! Poll results as relays send them to the owner: rows that have hardly changed are not sent again.

use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{End, NodeName, Running, WorkerId, WorkerStatus};
use serde::{Deserialize, Serialize};

/// Time after which a row is sent again even if it has hardly changed. The owner needs current rows
/// to detect stalled runs.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Change of a run's progress, in percentage points, from which on its row is sent at once.
const PROGRESS_STEP: u32 = 25;

/// A run's row is sent at once if its gauge has changed by more than one part in this many.
const GAUGE_FRACTION: u64 = 10;

/// Progress in percent of a run that is complete, or of a long-running task that is active.
const COMPLETE: u32 = 100;

/// A row of a poll delta: one run on the worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Row {
    /// The same as the row at this index of the base poll.
    Same(u32),
    /// Sent in full.
    New(Running),
}

/// A poll result as a relay sends it, as a delta to an earlier one.
///
/// Each end of a run produces a poll result that lists every run on the worker. If these were sent
/// in full, they would saturate the owner's link, as the orders would without relays.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollDelta {
    /// Number of the base poll, whose rows are referred to; 0 if no row refers to another poll.
    pub base: u64,
    /// Time on the worker's own monotonic clock, in milliseconds.
    pub clock: u64,
    /// Start of the worker's incarnation, in milliseconds since 1970.
    pub born: u64,
    /// The runs on the worker.
    pub rows: Vec<Row>,
    /// Ends of runs that are not acknowledged yet, oldest first.
    pub ended: Vec<End>,
}

/// Encodes poll results on a relay, as deltas to the last one sent for each worker.
#[derive(Debug, Default)]
pub struct DeltaEncoder {
    workers: Map<WorkerId, SentPoll>,
}

#[derive(Debug)]
struct SentPoll {
    /// Number of the poll.
    poll: u64,
    /// Rows, and when each was last sent in full.
    rows: Vec<(Running, Time)>,
}

impl DeltaEncoder {
    /// Forgets what was sent, after a message may have been lost: the next poll result of each
    /// worker is sent in full.
    pub fn clear(&mut self) {
        self.workers.clear();
    }

    /// Encodes the result of the poll with this number.
    pub fn encode(
        &mut self,
        now: Time,
        worker: &WorkerId,
        number: u64,
        status: WorkerStatus,
    ) -> PollDelta {
        let previous = self.workers.remove(worker);
        let base = previous.as_ref().map_or(0, |p| p.poll);
        let previous = previous.map(|p| p.rows).unwrap_or_default();
        let mut rows = Vec::with_capacity(status.running.len());
        let mut sent_rows = Vec::with_capacity(status.running.len());
        for run in status.running {
            let same = |(row, _): &(Running, Time)| row.task == run.task && row.run == run.run;
            let index = previous.iter().position(same);
            let candidate = index.map(|at| (at, &previous[at]));
            match candidate.filter(|(_, (row, sent))| is_unchanged(row, &run, now.since(*sent))) {
                Some((at, row)) => {
                    rows.push(Row::Same(at as u32));
                    sent_rows.push(row.clone());
                }
                None => {
                    rows.push(Row::New(run.clone()));
                    sent_rows.push((run, now));
                }
            }
        }
        let sent_poll = SentPoll {
            poll: number,
            rows: sent_rows,
        };
        self.workers.insert(worker.clone(), sent_poll);
        // A base is named only if a row refers to it. Otherwise, after one lost delta, the owner
        // could not decode any later one, as each refers to the one before. The owner would treat a
        // worker that answers as lost, and its runs would be given up and repeated. Every row is
        // sent in full again before the delays between the owner's retries become long, so the
        // owner can decode one of them.
        let refers = rows.iter().any(|row| matches!(row, Row::Same(_)));
        PollDelta {
            base: if refers { base } else { 0 },
            clock: status.clock,
            born: status.born,
            rows,
            ended: status.ended,
        }
    }
}

/// Whether a row that was sent `age` ago is close enough to the current one that it need not be
/// sent again.
fn is_unchanged(sent: &Running, current: &Running, age: Duration) -> bool {
    let complete = (sent.percent >= COMPLETE) == (current.percent >= COMPLETE);
    let progress = sent.percent.abs_diff(current.percent) < PROGRESS_STEP;
    let gauge = sent.gauge.abs_diff(current.gauge) * GAUGE_FRACTION <= sent.gauge;
    age < REFRESH_INTERVAL && complete && progress && gauge && sent.checkpoint == current.checkpoint
}

/// Decodes poll deltas on the owner. Keeps the last poll result of each worker and the relay that
/// sent it.
#[derive(Debug, Default)]
pub struct DeltaDecoder {
    workers: Map<WorkerId, (NodeName, u64, Vec<Running>)>,
}

impl DeltaDecoder {
    /// Decodes the delta of the poll with this number; `None` if its base poll was not received
    /// from this relay, or if this poll or a newer one was decoded before.
    pub fn decode(
        &mut self,
        node: &NodeName,
        worker: &WorkerId,
        number: u64,
        delta: PollDelta,
    ) -> Option<WorkerStatus> {
        // A relay that waits too long for a reply sends its reports again. Such a copy must not
        // displace the base of the next delta, or the next poll of a healthy worker would fail.
        let newest = self.workers.get(worker).map(|(_, poll, _)| *poll);
        if newest.is_some_and(|newest| number <= newest) {
            return None;
        }
        let previous = self.workers.remove(worker);
        let previous = previous.filter(|(sender, poll, _)| sender == node && *poll == delta.base);
        let previous = previous.map(|(_, _, rows)| rows);
        if delta.base != 0 && previous.is_none() {
            return None;
        }
        let previous = previous.unwrap_or_default();
        let rows = delta.rows.into_iter().map(|row| match row {
            Row::Same(at) => previous.get(at as usize).cloned(),
            Row::New(run) => Some(run),
        });
        let running: Vec<Running> = rows.collect::<Option<_>>()?;
        let last = (node.clone(), number, running.clone());
        self.workers.insert(worker.clone(), last);
        Some(WorkerStatus {
            clock: delta.clock,
            born: delta.born,
            running,
            ended: delta.ended,
        })
    }

    /// Forgets a worker that is no longer listed.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }
}
