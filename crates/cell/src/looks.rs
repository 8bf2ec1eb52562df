//! Looks at workers: what they list decides what is believed of every run there.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::{HoldOrder, How, Look, LookError, StopOrder, TaskId, WorkerId};

use crate::attempt::Phase;
use crate::cell::{Cell, POLL_RETRY};
use crate::output::Output;
use crate::worker::PollState;

/// Longest time that a look waits for an end. Leases are renewed as often, and what stands
/// still shows as late.
const POLL_WAIT: Duration = Duration::from_millis(1_000);

/// The same where there are few workers: a lost answer shows sooner.
const SMALL_CELL_WAIT: Duration = Duration::from_millis(500);

/// Workers with work up to which looks are cheap enough to come twice as often.
const SMALL_CELL: usize = 500;

/// The same for a worker with nothing on it.
const IDLE_WAIT: Duration = Duration::from_millis(2_000);

/// The same for a worker on which lasting work starts.
///
/// Failure: a task of a budgeted step moves, the next one waits until it is seen at work, and a
/// look that waits for an end shows that up to a second late; emptying the instances of a wave
/// takes twice as long as it has to, and the wave is late. It costs a few looks each time.
const WARMUP_WAIT: Duration = Duration::from_millis(200);

/// Time between looks at a worker that is kept for a task which may take it down.
const TRIAL_POLL_DELAY: Duration = Duration::from_millis(50);

/// For how long leases of a worker without an answer are renewed while the owner's link is full.
const RENEW_UNANSWERED: Duration = Duration::from_secs(4);

/// Longest pause between looks at a worker that does not answer.
const MAX_POLL_DELAY: Duration = Duration::from_millis(1_000);

/// Rows of ends after which a list may be cut.
const MAX_LISTED_ENDS: usize = 500;

impl Cell {
    /// Looks at every worker that is due.
    pub(crate) fn poll_due_workers(&mut self) {
        let (now, lease) = (self.now, self.bounds.lease);
        let (renewing, full) = (self.renew_leases, self.link_full);
        let busy_wait = match self.workers.len() <= SMALL_CELL {
            true => SMALL_CELL_WAIT,
            false => POLL_WAIT,
        };
        self.workers.settle();
        for id in self.workers.due_for_poll(now) {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let Some(addr) = worker.addr else {
                continue;
            };
            let wait = match (worker.fence_settled(), worker.allocations.is_empty()) {
                (false, _) => Duration::ZERO,
                // It lists the same ends each time.
                _ if worker.is_spent() => Duration::ZERO,
                _ if worker.is_reserved(now) => Duration::ZERO,
                (true, true) => IDLE_WAIT,
                (true, false) if worker.warming_up => WARMUP_WAIT,
                (true, false) => busy_wait,
            };
            // Failure: each look at a silent worker moves the end of its lease, which then never
            // comes, and what ran there is not started elsewhere. A look without a renewal finds
            // it again just as well. With the owner's own link full, though, most answers are
            // late, and without renewals sound workers lose all that they run.
            let late = full && now.since(worker.last_alive) < RENEW_UNANSWERED;
            let heard = worker.missed_polls == 0 || late;
            let order = HoldOrder {
                expiry: match renewing && heard && !worker.is_spent() {
                    true => worker.renew(lease, now),
                    false => None,
                },
                fence: worker.fence,
                seen: worker.journaled_end,
                born: worker.born,
                wait,
            };
            worker.requested_expiry = order.expiry;
            worker.poll_number += 1;
            worker.poll_state = PollState::InFlight(now);
            self.out.push(Output::PollWorker {
                worker: worker.id.clone(),
                addr,
                number: worker.poll_number,
                order,
            });
        }
    }

    /// A worker answered a look, or did not.
    pub fn poll_answered(
        &mut self,
        now: Time,
        id: &WorkerId,
        poll: u64,
        answer: Result<Look, LookError>,
    ) {
        self.now = now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.poll_number != poll {
            return;
        }
        let PollState::InFlight(sent) = worker.poll_state else {
            return;
        };
        match answer {
            Ok(seen) => self.apply_poll(id, sent, seen),
            Err(error) => self.poll_failed(id, &error),
        }
    }

    fn poll_failed(&mut self, id: &WorkerId, error: &LookError) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // An empty worker that is closed goes away with its instance: nothing is lost.
        if worker.missed_polls == 0 && !(worker.closed && worker.allocations.is_empty()) {
            let runs = worker.allocations.len() as u64;
            log::warn!(worker:% = id, runs = runs, error:% = error; "worker lost");
        }
        worker.missed_polls += 1;
        // One lost answer says little: the next look goes out at once.
        let pause = match worker.missed_polls {
            1 => Duration::ZERO,
            more => POLL_RETRY.saturating_mul(1 << more.min(4)),
        };
        worker.poll_state = PollState::Due(now.after(pause.min(MAX_POLL_DELAY)));
        match error {
            LookError::Fence => self.out.push(Output::Deposed {
                task: None,
                worker: id.clone(),
            }),
            LookError::OtherLife => {
                worker.entry = None;
                let runs = worker
                    .allocations
                    .iter()
                    .map(|(t, h)| (*t, h.run))
                    .collect();
                self.worker_ended(id, runs, &[], "another life at its address");
            }
            LookError::Refused(_) | LookError::NotSent | LookError::Unknown(_) => {}
        }
    }

    fn apply_poll(&mut self, id: &WorkerId, sent: Time, look: Look) {
        let (now, lease) = (self.now, self.bounds.lease);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.missed_polls > 0 {
            log::info!(worker:% = id, missed = worker.missed_polls, born = look.born; "worker regained");
        }
        if worker.missed_polls > 0 || worker.born == 0 {
            self.reschedule = true;
        }
        worker.missed_polls = 0;
        if look.born != worker.born {
            worker.begin_incarnation(look.born);
            self.lose_older_runs(id, look.born);
        }
        self.retract_crashes(id, look.born);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.set_clock(look.clock, lease, now);
        worker.confirm_renewal();
        worker.last_alive = sent;
        worker.first_answer.get_or_insert(now);
        worker.poll_state = PollState::Due(match worker.is_reserved(now) {
            true => now.after(TRIAL_POLL_DELAY),
            false => now,
        });
        let fence = worker.settle_fence();
        let seen = worker.seen_end;
        let lapsed = look.ended.iter().filter(|e| e.how == How::Expired);
        worker.expired_end = lapsed.map(|e| e.number).max().unwrap_or_default();
        for end in look.ended.iter().filter(|e| e.number > seen) {
            self.apply_end(id, end);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            let fresh = look.ended.iter().filter(|e| e.number > seen);
            worker
                .unjournaled
                .extend(fresh.map(|e| (e.number, e.task.job())));
            let last = look.ended.iter().map(|e| e.number).max();
            worker.seen_end = worker.seen_end.max(last.unwrap_or_default());
        }
        self.apply_running(id, &look.running);
        self.end_trial(id);
        if let Some(worker) = self.workers.get_mut(id).filter(|w| w.is_spent()) {
            worker.poll_state = PollState::Due(now.after(MAX_POLL_DELAY));
        }
        self.pace_fillers(id);
        if look.ended.len() < MAX_LISTED_ENDS {
            self.release_absent(id, sent, fence, &look);
        }
    }

    /// Runs that should be there and are not.
    fn release_absent(&mut self, id: &WorkerId, sent: Time, fence: u64, look: &Look) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let listed = |task: &TaskId, run: u32| {
            let mut rows = look.running.iter();
            rows.any(|r| r.task == *task && r.run == run)
        };
        let absent = worker.allocations.iter().map(|(t, h)| (*t, h.run));
        let absent = absent.filter(|(t, run)| !listed(t, *run));
        let absent: Vec<(TaskId, u32)> = absent.collect();
        let mut doubtful = false;
        let mut blamed = Vec::new();
        for (task, run) in absent {
            let Some(attempt) = self.attempt_mut(task, run, id) else {
                // The job is gone: nothing else will ever release the room.
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.deallocate(task, run);
                }
                continue;
            };
            let gone = match attempt.phase {
                Phase::Planned | Phase::Ordered => false,
                // Older orders do nothing any more, so it will not start either.
                Phase::Unknown => attempt.fence < fence,
                Phase::Running => attempt.phase_since < sent,
                Phase::Stopping if attempt.start_confirmed => attempt.phase_since < sent,
                Phase::Stopping => {
                    doubtful |= attempt.phase_since < sent;
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
        self.fail_crashing_jobs(&blamed);
        if doubtful {
            self.fence_off(id, "stopped before it was seen");
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
