//! Start orders and their answers.

use std::time::Duration;

use cactuswheel_model::{Millis, Time};
use cactuswheel_work::{StartOrder, StartOutcome, StartRefusal, TaskId, WorkerId};

use crate::attempt::Phase;
use crate::batch::PlannedStart;
use crate::cell::Cell;
use crate::output::Output;
use crate::progress::Progress;
use crate::worker::PollState;

/// How long a worker that refused a task for lack of room gets no new tasks.
const FULL_BACKOFF: Duration = Duration::from_millis(150);

/// Lease of a run on an unusable worker, which is not renewed: when it expires on the run, the
/// worker's end records may be acknowledged. The work until then is lost.
const REDEEMING_LEASE: Millis = Millis::new(500);

impl Cell {
    /// Sends the start orders of the runs that the journal holds, unless they are held back.
    pub(crate) fn send_held_starts(&mut self) {
        if self.hold_starts {
            return;
        }
        for start in std::mem::take(&mut self.unsent) {
            self.send_start(start);
        }
    }

    /// Sends the start order of a run that the journal holds.
    fn send_start(&mut self, start: PlannedStart) {
        let (now, lease) = (self.now, self.bounds.lease);
        let PlannedStart { task, run, worker } = start;
        let Some(attempt) = self.attempt_mut(task, run, &worker) else {
            return;
        };
        if attempt.phase != Phase::Planned {
            return;
        }
        let born = attempt.born;
        let target = self.workers.get_mut(&worker);
        let target = target.filter(|w| w.born == born && !w.is_draining() && !w.evacuated);
        let Some((target, entry)) = target
            .and_then(|w| Some((w.entry.clone()?, w)))
            .map(|(e, w)| (w, e))
        else {
            // The run was never ordered, so it cannot start.
            self.release(task, run, &worker);
            return;
        };
        if target.is_overcommitted() {
            log::info!(task:% = task, run = run, worker:% = worker; "start dropped: worker no longer has room");
            self.release(task, run, &worker);
            return;
        }
        let fence = target.fence;
        let lease = match target.is_spent() {
            true => REDEEMING_LEASE,
            false => lease,
        };
        let Some(expiry) = target.renew(lease, now) else {
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
        self.outputs.push(Output::Start {
            worker,
            addr: entry.addr,
            order: StartOrder {
                task,
                run,
                spec,
                expiry,
                born,
                fence,
                checkpoint,
                ticket,
            },
        });
    }

    /// Processes the answer to a start order.
    pub fn start_answered(
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
        let (phase, ordered) = (attempt.phase, attempt.phase_since);
        match outcome {
            StartOutcome::Started => {
                attempt.start_confirmed = true;
                if phase == Phase::Ordered {
                    attempt.enter(Phase::Running, now);
                    attempt.started = now;
                    attempt.progress = Progress::new(now);
                    self.poll_after_start(id, task);
                }
                let job = self.jobs.get(&task.job());
                if job.is_some_and(|j| !j.started)
                    && let Some(job) = self.jobs.get_mut(&task.job())
                {
                    job.started = true;
                }
            }
            StartOutcome::NotSent => {
                self.poll_soon(id);
                self.release_unstarted(task, run, id, phase);
            }
            StartOutcome::Refused(refusal) => {
                self.start_refused((task, run), id, (phase, ordered), refusal);
            }
            StartOutcome::Unknown => {
                if phase == Phase::Ordered {
                    attempt.enter(Phase::Unknown, now);
                }
                log::warn!(task:% = task, run = run, worker:% = id; "start order not answered; outcome unknown");
                self.fence_off(id, "no answer");
            }
        }
    }

    fn start_refused(
        &mut self,
        (task, run): (TaskId, u32),
        id: &WorkerId,
        (phase, ordered): (Phase, Time),
        refusal: StartRefusal,
    ) {
        let now = self.now;
        log::info!(task:% = task, run = run, worker:% = id, refusal:? = refusal; "worker refused start order");
        match refusal {
            StartRefusal::Room => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.full_until = now.after(FULL_BACKOFF);
                }
            }
            StartRefusal::Ticket => self.forget_ticket(task.step, id),
            StartRefusal::Unhealthy => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.pause(now);
                }
            }
            StartRefusal::OtherLife if self.is_newer_incarnation(id, ordered) => {}
            StartRefusal::Fence | StartRefusal::Late | StartRefusal::OtherLife => {
                self.poll_soon(id);
            }
            StartRefusal::Old | StartRefusal::Malformed => {}
        }
        self.release_unstarted(task, run, id, phase);
    }

    /// Whether the worker's incarnation first answered after `ordered`. An order of that time was
    /// meant for an earlier one, and its refusal says nothing about the worker as it is known now.
    fn is_newer_incarnation(&self, id: &WorkerId, ordered: Time) -> bool {
        let worker = self.workers.get(id);
        let answer = worker.and_then(|w| w.first_answer);
        answer.is_some_and(|at| at >= ordered)
    }

    /// Releases a run that its start order certainly did not start, unless a poll has shown it
    /// running.
    fn release_unstarted(&mut self, task: TaskId, run: u32, id: &WorkerId, phase: Phase) {
        if matches!(phase, Phase::Ordered | Phase::Stopping) {
            self.release(task, run, id);
        }
    }

    /// Raises the worker's fencing token after an order with an unknown outcome, and polls the
    /// worker to learn which runs it has.
    ///
    /// An unanswered order may be carried out seconds later, after its task was restarted
    /// elsewhere, and the caller's work would run twice. A worker ignores orders with a token
    /// below the highest it has seen. Once it has answered a poll under the new token, an older
    /// order that has not started its run never will.
    pub(crate) fn fence_off(&mut self, id: &WorkerId, why: &str) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        self.fence += 1;
        worker.raise_fence(self.fence);
        worker.poll_state = PollState::Due(self.now);
        log::info!(worker:% = id, why:% = why, fence = worker.fence; "worker fenced off from earlier orders");
    }

    /// Polls a worker soon after a start, if the run is long-running, to see when it becomes
    /// active, or if it is a suspect, to see whether it has crashed the worker.
    fn poll_after_start(&mut self, id: &WorkerId, task: TaskId) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let lasting = worker.allocations.get(&task).is_some_and(|h| h.lasting);
        worker.warming_up |= lasting;
        if lasting || worker.trial_task == Some(task) {
            worker.poll_state = PollState::Due(now);
        }
    }

    /// Polls a worker soon because an answer contradicts its recorded state. It gets no new tasks
    /// for [`FULL_BACKOFF`].
    fn poll_soon(&mut self, id: &WorkerId) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.poll_state = PollState::Due(now);
            worker.full_until = worker.full_until.max(now.after(FULL_BACKOFF));
        }
    }
}
