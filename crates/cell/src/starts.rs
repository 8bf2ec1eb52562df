//! Orders to start, and what becomes of them.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::{StartOrder, StartOutcome, StartRefusal, TaskId, WorkerId};

use crate::attempt::Phase;
use crate::batch::PlannedStart;
use crate::cell::Cell;
use crate::output::Output;
use crate::worker::Looking;

/// Time for which a worker that said it has no room gets nothing more.
const FULL_PAUSE: Duration = Duration::from_millis(150);

impl Cell {
    /// Orders a run that the journal holds by now.
    pub(crate) fn order(&mut self, start: PlannedStart) {
        let (now, lease) = (self.now, self.bounds.lease);
        let PlannedStart { task, run, worker } = start;
        let Some(attempt) = self.attempt_mut(task, run, &worker) else {
            return;
        };
        if attempt.phase != Phase::Planned {
            return;
        }
        let born = attempt.born;
        let place = self.workers.get_mut(&worker);
        let place = place.filter(|w| w.born == born && !w.is_draining() && !w.evacuated);
        let Some((place, entry)) = place
            .and_then(|w| Some((w.entry.clone()?, w)))
            .map(|(e, w)| (w, e))
        else {
            // It was never ordered, so it never starts.
            self.release(task, run, &worker);
            return;
        };
        if place.is_overfull() {
            log::info!(task:% = task, run = run, worker:% = worker; "start dropped: the room has shrunk");
            self.release(task, run, &worker);
            return;
        }
        let fence = place.fence;
        let Some(expiry) = place.renew(lease, now) else {
            self.release(task, run, &worker);
            return;
        };
        let ticket = self.ticket(task.step, &worker);
        let Some(job) = self.jobs.get_mut_untracked(&task.job()) else {
            return;
        };
        let spec = job.sub.spec.clone();
        let Some(state) = job.task_mut(task) else {
            return;
        };
        let checkpoint = state.checkpoint.clone();
        if let Some(attempt) = self.attempt_mut(task, run, &worker) {
            attempt.enter(Phase::Ordered, now);
            attempt.fence = fence;
        }
        self.out.push(Output::Start {
            worker,
            addr: entry.addr,
            order: StartOrder {
                task,
                run,
                spec,
                expiry,
                fence,
                checkpoint,
                ticket,
            },
        });
    }

    /// What became of an order to start.
    pub fn started(
        &mut self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        run: u32,
        outcome: StartOutcome,
    ) {
        self.now = now;
        let Some(attempt) = self.attempt_mut(task, run, id) else {
            return;
        };
        let phase = attempt.phase;
        match outcome {
            StartOutcome::Started => {
                attempt.sure = true;
                if phase == Phase::Ordered {
                    attempt.enter(Phase::Running, now);
                    attempt.started = now;
                    attempt.moved = now;
                    self.watch(id, task);
                }
                let job = self.jobs.get(&task.job());
                if job.is_some_and(|j| !j.started)
                    && let Some(job) = self.jobs.get_mut(&task.job())
                {
                    job.started = true;
                }
            }
            StartOutcome::NotSent => {
                self.look_soon(id);
                self.release_unstarted(task, run, id, phase);
            }
            StartOutcome::Refused(refusal) => self.refused(task, run, id, phase, refusal),
            StartOutcome::Unknown => {
                if phase == Phase::Ordered {
                    attempt.enter(Phase::Unknown, now);
                }
                log::warn!(task:% = task, run = run, worker:% = id; "start order without an answer");
                self.doubt(id, "no answer");
            }
        }
    }

    fn refused(
        &mut self,
        task: TaskId,
        run: u32,
        id: &WorkerId,
        phase: Phase,
        refusal: StartRefusal,
    ) {
        let now = self.now;
        log::info!(task:% = task, run = run, worker:% = id, refusal:? = refusal; "start refused");
        match refusal {
            StartRefusal::Room => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.full_until = now.after(FULL_PAUSE);
                }
            }
            StartRefusal::Ticket => self.forget_ticket(task.step, id),
            StartRefusal::Unhealthy => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.health.pause(now);
                }
            }
            StartRefusal::Fence | StartRefusal::Late | StartRefusal::OtherLife => {
                self.look_soon(id);
            }
            StartRefusal::Old | StartRefusal::Malformed => {}
        }
        self.release_unstarted(task, run, id, phase);
    }

    /// A run that surely was not started by its order. One that a look has shown stays.
    fn release_unstarted(&mut self, task: TaskId, run: u32, id: &WorkerId, phase: Phase) {
        if matches!(phase, Phase::Ordered | Phase::Stopping) {
            self.release(task, run, id);
        }
    }

    /// An order went wrong: a look under a new fencing token settles what is there.
    ///
    /// Failure: an order without an answer may be carried out seconds later, after its task was
    /// started elsewhere; the caller's work runs twice. A worker does nothing for a token below
    /// the highest it has seen, so once it has answered a look under the new one, an older order
    /// that has not started its run never will.
    pub(crate) fn doubt(&mut self, id: &WorkerId, why: &str) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        self.fence += 1;
        worker.raise_fence(self.fence);
        worker.looking = Looking::Due(self.now);
        log::info!(worker:% = id, why:% = why, fence = worker.fence; "worker in doubt");
    }

    /// A run has started: looks show soon when lasting work is at work, and whether a suspect has
    /// taken the worker down.
    fn watch(&mut self, id: &WorkerId, task: TaskId) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let lasting = worker.held.get(&task).is_some_and(|h| h.lasting);
        worker.waking |= lasting;
        if lasting || worker.trial == Some(task) {
            worker.looking = Looking::Due(now);
        }
    }

    /// Something does not fit what is believed of a worker: it gets nothing until a look has
    /// told more.
    fn look_soon(&mut self, id: &WorkerId) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.looking = Looking::Due(now);
            worker.full_until = worker.full_until.max(now.after(FULL_PAUSE));
        }
    }
}
