//! Looks at workers: what they list decides what is believed of every run there.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::{
    EndReason, PollError, PollOrder, StopOrder, TaskId, WorkerId, WorkerStatus,
};

use crate::attempt::Phase;
use crate::cell::{Cell, RETRY_LOOK};
use crate::output::Output;
use crate::worker::Looking;

/// Longest time that a look waits for an end. Leases are renewed as often, and what stands
/// still shows as late.
const LOOK_WAIT: Duration = Duration::from_millis(1_000);

/// The same where there are few workers: a lost answer shows sooner.
const SHORT_WAIT: Duration = Duration::from_millis(500);

/// Workers with work up to which looks are cheap enough to come twice as often.
const FEW_WORKERS: usize = 500;

/// The same for a worker with nothing on it.
const IDLE_WAIT: Duration = Duration::from_millis(2_000);

/// The same for a worker on which lasting work starts.
///
/// Failure: a task of a budgeted step moves, the next one waits until it is seen at work, and a
/// look that waits for an end shows that up to a second late; emptying the instances of a wave
/// takes twice as long as it has to, and the wave is late. It costs a few looks each time.
const WAKING_WAIT: Duration = Duration::from_millis(200);

/// Time between looks at a worker that is kept for a task which may take it down.
const TRIAL_LOOK: Duration = Duration::from_millis(50);

/// For how long leases of a worker without an answer are renewed while the owner's link is full.
const RENEW_UNHEARD: Duration = Duration::from_secs(4);

/// Longest pause between looks at a worker that does not answer.
const MAX_RETRY: Duration = Duration::from_millis(1_000);

/// Rows of ends after which a list may be cut.
const FULL_LIST: usize = 500;

impl Cell {
    /// Looks at every worker that is due.
    pub(crate) fn look_around(&mut self) {
        let (now, lease) = (self.now, self.bounds.lease);
        let (renewing, full) = (self.renewing, self.full);
        let busy_wait = match self.workers.len() <= FEW_WORKERS {
            true => SHORT_WAIT,
            false => LOOK_WAIT,
        };
        self.workers.settle();
        for id in self.workers.due(now) {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let Some(addr) = worker.addr else {
                continue;
            };
            let wait = match (worker.fence_settled(), worker.held.is_empty()) {
                (false, _) => Duration::ZERO,
                // It lists the same ends each time.
                _ if worker.is_spent() => Duration::ZERO,
                _ if worker.is_reserved(now) => Duration::ZERO,
                (true, true) => IDLE_WAIT,
                (true, false) if worker.waking => WAKING_WAIT,
                (true, false) => busy_wait,
            };
            // Failure: each look at a silent worker moves the end of its lease, which then never
            // comes, and what ran there is not started elsewhere. A look without a renewal finds
            // it again just as well. With the owner's own link full, though, most answers are
            // late, and without renewals sound workers lose all that they run.
            let late = full && now.since(worker.alive) < RENEW_UNHEARD;
            let heard = worker.missed == 0 || late;
            let order = PollOrder {
                expiry: match renewing && heard && !worker.is_spent() {
                    true => worker.renew(lease, now),
                    false => None,
                },
                fence: worker.fence,
                seen: worker.noted,
                born: worker.born,
                wait,
            };
            worker.asked = order.expiry;
            worker.look += 1;
            worker.looking = Looking::Flying(now);
            self.out.push(Output::Look {
                worker: worker.id.clone(),
                addr,
                look: worker.look,
                order,
            });
        }
    }

    /// A worker answered a look, or did not.
    pub fn looked(
        &mut self,
        now: Time,
        id: &WorkerId,
        look: u64,
        answer: Result<WorkerStatus, PollError>,
    ) {
        self.now = now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.look != look {
            return;
        }
        let Looking::Flying(sent) = worker.looking else {
            return;
        };
        match answer {
            Ok(seen) => self.take_look(id, sent, seen),
            Err(error) => self.miss_look(id, &error),
        }
    }

    fn miss_look(&mut self, id: &WorkerId, error: &PollError) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // An empty worker that is closed goes away with its instance: nothing is lost.
        if worker.missed == 0 && !(worker.closing && worker.held.is_empty()) {
            let runs = worker.held.len() as u64;
            log::warn!(worker:% = id, runs = runs, error:% = error; "worker lost");
        }
        worker.missed += 1;
        // One lost answer says little: the next look goes out at once.
        let pause = match worker.missed {
            1 => Duration::ZERO,
            more => RETRY_LOOK.saturating_mul(1 << more.min(4)),
        };
        worker.looking = Looking::Due(now.after(pause.min(MAX_RETRY)));
        match error {
            PollError::Fence => self.out.push(Output::Deposed {
                task: None,
                worker: id.clone(),
            }),
            PollError::OtherLife => {
                worker.entry = None;
                let runs = worker.held.iter().map(|(t, h)| (*t, h.run)).collect();
                self.worker_ended(id, runs, &[], "another life at its address");
            }
            PollError::Refused(_) | PollError::NotSent | PollError::Unknown(_) => {}
        }
    }

    fn take_look(&mut self, id: &WorkerId, sent: Time, look: WorkerStatus) {
        let (now, lease) = (self.now, self.bounds.lease);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.missed > 0 {
            log::info!(worker:% = id, missed = worker.missed, born = look.born; "worker regained");
        }
        if worker.missed > 0 || worker.born == 0 {
            self.stirred = true;
        }
        worker.missed = 0;
        if look.born != worker.born {
            worker.begin_life(look.born);
            self.lose_older(id, look.born);
        }
        self.take_back_crash(id, look.born);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.fix_clock(look.clock, lease, now);
        worker.assure();
        worker.alive = sent;
        worker.met.get_or_insert(now);
        worker.looking = Looking::Due(match worker.is_reserved(now) {
            true => now.after(TRIAL_LOOK),
            false => now,
        });
        let fence = worker.settle_fence();
        let seen = worker.seen;
        let lapsed = look.ended.iter().filter(|e| e.how == EndReason::Expired);
        worker.lapsed = lapsed.map(|e| e.number).max().unwrap_or_default();
        for end in look.ended.iter().filter(|e| e.number > seen) {
            self.take_end(id, end);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            let fresh = look.ended.iter().filter(|e| e.number > seen);
            worker
                .unwritten
                .extend(fresh.map(|e| (e.number, e.task.job())));
            let last = look.ended.iter().map(|e| e.number).max();
            worker.seen = worker.seen.max(last.unwrap_or_default());
        }
        self.take_running(id, &look.running);
        self.end_trial(id);
        if let Some(worker) = self.workers.get_mut(id).filter(|w| w.is_spent()) {
            worker.looking = Looking::Due(now.after(MAX_RETRY));
        }
        self.pace_fillers(id);
        if look.ended.len() < FULL_LIST {
            self.settle_absent(id, sent, fence, &look);
        }
    }

    /// Runs that should be there and are not.
    fn settle_absent(&mut self, id: &WorkerId, sent: Time, fence: u64, look: &WorkerStatus) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let listed = |task: &TaskId, run: u32| {
            let mut rows = look.running.iter();
            rows.any(|r| r.task == *task && r.run == run)
        };
        let absent = worker.held.iter().map(|(t, h)| (*t, h.run));
        let absent = absent.filter(|(t, run)| !listed(t, *run));
        let absent: Vec<(TaskId, u32)> = absent.collect();
        let mut doubtful = false;
        let mut blamed = Vec::new();
        for (task, run) in absent {
            let Some(attempt) = self.attempt_mut(task, run, id) else {
                // The job is gone: nothing else will ever release the room.
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.drop_run(task, run);
                }
                continue;
            };
            let gone = match attempt.phase {
                Phase::Planned | Phase::Ordered => false,
                // Older orders do nothing any more, so it will not start either.
                Phase::Unknown => attempt.fence < fence,
                Phase::Running => attempt.since < sent,
                Phase::Stopping if attempt.sure => attempt.since < sent,
                Phase::Stopping => {
                    doubtful |= attempt.since < sent;
                    attempt.fence < fence
                }
            };
            if gone {
                let phase = format!("{:?}", attempt.phase);
                log::info!(
                    task:% = task, run = run, worker:% = id, phase:% = phase, fence = fence;
                    "run is not there"
                );
                blamed.extend(self.confirm_crash(task, run, id));
                self.release(task, run, id);
            }
        }
        self.give_up_jobs(&blamed);
        if doubtful {
            self.doubt(id, "stopped before it was seen");
        }
    }

    /// Orders a worker to stop a run that may or may not be known.
    pub(crate) fn send_stop(&mut self, id: &WorkerId, task: TaskId, run: u32) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let Some(addr) = worker.addr else {
            return;
        };
        self.out.push(Output::Stop {
            worker: id.clone(),
            addr,
            order: StopOrder {
                task,
                run,
                fence: worker.fence,
            },
        });
    }
}
