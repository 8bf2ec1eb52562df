//! Looks as a relay reports them: what is as it was is not told again.

use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{End, NodeName, Running, WorkerId, WorkerStatus};
use serde::{Deserialize, Serialize};

/// Time after which a row is told again though it changed little: runs that stand still are told
/// from others by it.
const REFRESH: Duration = Duration::from_millis(500);

/// Change of a run's progress, in percent, that is told at once.
const STEP: u32 = 25;

/// Share by which a run's gauge has to change to be told at once.
const GAUGE_SHARE: u64 = 10;

/// Progress of a run that is done, or at work.
const WHOLE: u32 = 100;

/// A row of a look.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Row {
    /// As in the look before, at this place there.
    Same(u32),
    /// Told anew.
    New(Running),
}

/// A look as a relay reports it.
///
/// Each end of a run brings a look with all that runs on its worker. Told whole, looks fill the
/// owner's link as the orders did before there were relays.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollDelta {
    /// Number of the look whose rows are referred to; 0 if none are.
    pub base: u64,
    /// The worker's own steady clock, in milliseconds.
    pub clock: u64,
    /// Start of its life, in milliseconds since 1970.
    pub born: u64,
    /// What runs there.
    pub rows: Vec<Row>,
    /// Ends that were not acknowledged yet, oldest first.
    pub ended: Vec<End>,
}

/// What a relay has told its owner of each worker.
#[derive(Debug, Default)]
pub struct DeltaEncoder {
    workers: Map<WorkerId, Page>,
}

#[derive(Debug)]
struct Page {
    look: u64,
    /// Rows, and when each was last told.
    rows: Vec<(Running, Time)>,
}

impl DeltaEncoder {
    /// Nothing is sure to have arrived: the next looks are told whole.
    pub fn clear(&mut self) {
        self.workers.clear();
    }

    /// The look of this number as it is told now.
    pub fn encode(
        &mut self,
        now: Time,
        worker: &WorkerId,
        number: u64,
        look: WorkerStatus,
    ) -> PollDelta {
        let before = self.workers.remove(worker);
        let base = before.as_ref().map_or(0, |page| page.look);
        let before = before.map(|page| page.rows).unwrap_or_default();
        let mut rows = Vec::with_capacity(look.running.len());
        let mut page = Vec::with_capacity(look.running.len());
        for run in look.running {
            let same = |(row, _): &(Running, Time)| row.task == run.task && row.run == run.run;
            let place = before.iter().position(same);
            let known = place.map(|at| (at, &before[at]));
            match known.filter(|(_, (row, told))| is_alike(row, &run, now.since(*told))) {
                Some((at, row)) => {
                    rows.push(Row::Same(at as u32));
                    page.push(row.clone());
                }
                None => {
                    rows.push(Row::New(run.clone()));
                    page.push((run, now));
                }
            }
        }
        let page = Page {
            look: number,
            rows: page,
        };
        self.workers.insert(worker.clone(), page);
        // Failure: a look does not arrive, all later ones refer to it in turn, and the owner takes
        // a worker that answers for lost; its runs are given up and done again. Rows are told
        // anew before the owner's retries are far apart, so that one of them is readable.
        let refers = rows.iter().any(|row| matches!(row, Row::Same(_)));
        PollDelta {
            base: if refers { base } else { 0 },
            clock: look.clock,
            born: look.born,
            rows,
            ended: look.ended,
        }
    }
}

/// Whether a row that was told a time ago need not be told again.
fn is_alike(told: &Running, now: &Running, passed: Duration) -> bool {
    let whole = (told.percent >= WHOLE) == (now.percent >= WHOLE);
    let near = told.percent.abs_diff(now.percent) < STEP;
    let gauge = told.gauge.abs_diff(now.gauge) * GAUGE_SHARE <= told.gauge;
    passed < REFRESH && whole && near && gauge && told.checkpoint == now.checkpoint
}

/// What an owner was told of each worker, and by which relay.
#[derive(Debug, Default)]
pub struct DeltaDecoder {
    workers: Map<WorkerId, (NodeName, u64, Vec<Running>)>,
}

impl DeltaDecoder {
    /// The whole look; `None` if it refers to one that did not arrive.
    pub fn decode(
        &mut self,
        node: &NodeName,
        worker: &WorkerId,
        number: u64,
        seen: PollDelta,
    ) -> Option<WorkerStatus> {
        let before = self.workers.remove(worker);
        let before = before.filter(|(by, look, _)| by == node && *look == seen.base);
        let before = before.map(|(_, _, rows)| rows);
        if seen.base != 0 && before.is_none() {
            return None;
        }
        let before = before.unwrap_or_default();
        let rows = seen.rows.into_iter().map(|row| match row {
            Row::Same(at) => before.get(at as usize).cloned(),
            Row::New(run) => Some(run),
        });
        let running: Vec<Running> = rows.collect::<Option<_>>()?;
        let page = (node.clone(), number, running.clone());
        self.workers.insert(worker.clone(), page);
        Some(WorkerStatus {
            clock: seen.clock,
            born: seen.born,
            running,
            ended: seen.ended,
        })
    }

    /// A worker is gone.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }
}
