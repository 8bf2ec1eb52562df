//! Polls of workers: a poll renews the worker's lease and returns its lists of running and ended
//! runs, which determine the state of every run there.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::{
    EndReason, PollError, PollOrder, StopOrder, TaskId, WorkerId, WorkerStatus,
};

use crate::attempt::Phase;
use crate::cell::{Cell, POLL_RETRY};
use crate::output::Output;
use crate::worker::PollState;

/// How long a worker may hold a poll open while it waits for a run to end. Leases are renewed,
/// and stalled runs are noticed, at this interval.
const POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Poll wait in a cell of at most [`SMALL_CELL`] workers; a lost answer is noticed sooner.
const SMALL_CELL_WAIT: Duration = Duration::from_millis(500);

/// Number of workers up to which polling twice as often is cheap enough.
const SMALL_CELL: usize = 500;

/// Poll wait for a worker without runs.
const IDLE_WAIT: Duration = Duration::from_millis(2_000);

/// Poll wait for a worker on which a long-running task starts.
///
/// While a task of a step with a disruption budget moves, the next one waits until the first is
/// seen to be active. A poll that waits for a run to end would show that up to a second late;
/// emptying the instances of a maintenance wave would take twice as long as necessary, and the
/// wave would be late. The shorter wait costs a few extra polls per start.
const WARMUP_WAIT: Duration = Duration::from_millis(200);

/// Delay between polls of a worker that is reserved for a task which may crash it, or whose lease
/// cannot be renewed yet or has to expire.
const TRIAL_POLL_DELAY: Duration = Duration::from_millis(50);

/// How long the lease of a worker that does not answer is renewed while the owner's link is
/// saturated.
const RENEW_UNANSWERED: Duration = Duration::from_secs(4);

/// Longest delay between polls of a worker that does not answer.
const MAX_POLL_DELAY: Duration = Duration::from_millis(1_000);

/// Number of end records at which a worker's list may be truncated.
const MAX_LISTED_ENDS: usize = 500;

impl Cell {
    /// Polls every worker whose poll is due.
    pub(crate) fn poll_due_workers(&mut self) {
        let (now, lease) = (self.now, self.bounds.lease);
        let limit = self.bounds.poll_limit.min(lease).duration();
        let (renewing, full) = (self.renew_leases, self.link_full);
        let busy_wait = match self.workers.len() <= SMALL_CELL {
            true => SMALL_CELL_WAIT,
            false => POLL_WAIT,
        };
        self.workers.update_indexes();
        for id in self.workers.due_for_poll(now) {
            self.fail_overdue_poll(&id);
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            if !worker.poll_state.is_due(now) {
                continue;
            }
            let Some(addr) = worker.addr else {
                continue;
            };
            let wait = match (worker.fence_settled(), worker.allocations.is_empty()) {
                (false, _) => Duration::ZERO,
                // Each answer lists the same unacknowledged end records, so there is nothing to
                // wait for.
                _ if worker.is_spent() => Duration::ZERO,
                _ if worker.is_reserved(now) => Duration::ZERO,
                // The next poll may renew the lease.
                _ if worker.renewal_barred => Duration::ZERO,
                (true, true) => IDLE_WAIT,
                (true, false) if worker.warming_up => WARMUP_WAIT,
                (true, false) => busy_wait,
            };
            // A poll that renewed the lease of an unresponsive worker would postpone its expiry
            // each time, and the worker's runs would never be restarted elsewhere. A poll without
            // a renewal detects an answering worker just as well. While the owner's own link is
            // saturated, however, most answers are late, and without renewals healthy workers
            // would lose all their runs.
            let late = full && now.since(worker.last_alive) < RENEW_UNANSWERED;
            let responsive = worker.missed_polls == 0 || late;
            let order = PollOrder {
                expiry: match renewing && responsive && !worker.is_spent() {
                    true => worker.renew(lease, now),
                    false => None,
                },
                fence: worker.fence,
                seen: worker.journaled_end,
                born: worker.born,
                wait,
            };
            worker.requested_expiry = order.expiry;
            self.last_poll += 1;
            worker.poll_number = self.last_poll;
            worker.poll_state = PollState::InFlight {
                sent: now,
                deadline: now.after(wait + limit),
            };
            self.outputs.push(Output::PollWorker {
                worker: worker.id.clone(),
                addr,
                poll_number: worker.poll_number,
                order,
            });
        }
    }

    /// Fails a worker's poll in flight whose outcome is overdue, so that the worker is polled again.
    ///
    /// Whoever sends the polls has to report each outcome. Without this limit, a worker whose poll
    /// is never reported would not be polled again: its lease would expire, and since it missed no
    /// poll, its runs would never be started elsewhere.
    fn fail_overdue_poll(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let PollState::InFlight { sent, .. } = worker.poll_state else {
            return;
        };
        let age = self.now.since(sent).as_millis() as u64;
        log::warn!(worker:% = id, poll = worker.poll_number, age_ms = age; "no outcome of a poll was reported");
        self.poll_failed(id, &PollError::Unknown("no outcome reported".into()));
    }

    /// Processes the answer to a poll, or its failure.
    pub fn poll_answered(
        &mut self,
        now: Time,
        id: &WorkerId,
        poll: u64,
        answer: Result<WorkerStatus, PollError>,
    ) {
        self.now = now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.poll_number != poll {
            return;
        }
        let PollState::InFlight { sent, .. } = worker.poll_state else {
            return;
        };
        match answer {
            Ok(look) => self.apply_poll(id, sent, look),
            Err(error) => self.poll_failed(id, &error),
        }
    }

    fn poll_failed(&mut self, id: &WorkerId, error: &PollError) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // A closed worker without runs disappears together with its instance, so nothing is lost.
        if worker.missed_polls == 0 && !(worker.closed && worker.allocations.is_empty()) {
            let runs = worker.allocations.len() as u64;
            log::warn!(worker:% = id, runs = runs, error:% = error; "worker poll failed; retrying");
        }
        worker.missed_polls += 1;
        // A single lost answer may have many causes, so the first retry is sent at once.
        let pause = match worker.missed_polls {
            1 => Duration::ZERO,
            more => POLL_RETRY.saturating_mul(1 << more.min(4)),
        };
        worker.poll_state = PollState::Due(now.after(pause.min(MAX_POLL_DELAY)));
        match error {
            PollError::Fence => self.outputs.push(Output::Deposed {
                task: None,
                worker: id.clone(),
            }),
            PollError::OtherLife => {
                worker.entry = None;
                let runs = worker
                    .allocations
                    .iter()
                    .map(|(t, h)| (*t, h.run))
                    .collect();
                self.worker_ended(id, runs, &[], "new incarnation at its address");
            }
            PollError::Refused(_) | PollError::NotSent | PollError::Unknown(_) => {}
        }
    }

    fn apply_poll(&mut self, id: &WorkerId, sent: Time, look: WorkerStatus) {
        let (now, lease) = (self.now, self.bounds.lease);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.missed_polls > 0 {
            log::info!(worker:% = id, missed = worker.missed_polls, born = look.born; "worker answers polls again");
        }
        if worker.missed_polls > 0 || worker.is_silent(now) {
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
        worker.poll_state =
            PollState::Due(match worker.is_reserved(now) || worker.renewal_barred {
                true => now.after(TRIAL_POLL_DELAY),
                false => now,
            });
        let fence = worker.settle_fence();
        let seen_end = worker.seen_end;
        let expired = look.ended.iter().filter(|e| e.how == EndReason::Expired);
        worker.expired_end = expired.map(|e| e.number).max().unwrap_or_default();
        for end in look.ended.iter().filter(|e| e.number > seen_end) {
            self.apply_end(id, end);
        }
        self.redeem(id);
        if let Some(worker) = self.workers.get_mut(id) {
            let new_ends = look.ended.iter().filter(|e| e.number > seen_end);
            worker
                .unjournaled
                .extend(new_ends.map(|e| (e.number, e.task.job())));
            let last = look.ended.iter().map(|e| e.number).max();
            worker.seen_end = worker.seen_end.max(last.unwrap_or_default());
        }
        self.apply_running(id, &look.running);
        self.end_trial(id);
        if let Some(worker) = self.workers.get_mut(id).filter(|w| w.is_spent()) {
            worker.poll_state = PollState::Due(now.after(match worker.allocations.is_empty() {
                true => MAX_POLL_DELAY,
                false => TRIAL_POLL_DELAY,
            }));
        }
        self.pace_fillers(id);
        if look.ended.len() < MAX_LISTED_ENDS {
            self.release_absent(id, sent, fence, &look);
        }
    }

    /// Allows the acknowledgement of a worker's withheld end records, if its lease has expired on a run
    /// since: such an acknowledgement no longer counts the work as done twice.
    fn redeem(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.redeem() {
            log::info!(worker:% = id, expired = worker.expired_end; "worker usable again: its lease has expired on a run");
        }
    }

    /// Releases runs that the worker should list and does not.
    fn release_absent(&mut self, id: &WorkerId, sent: Time, fence: u64, look: &WorkerStatus) {
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
        let mut uncertain = false;
        let mut blamed = Vec::new();
        for (task, run) in absent {
            let Some(attempt) = self.attempt_mut(task, run, id) else {
                // The job is unknown, so no other code path would release the room.
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.deallocate(task, run);
                }
                continue;
            };
            let gone = match attempt.phase {
                Phase::Planned | Phase::Ordered => false,
                // The worker ignores orders with older tokens, so the run will not start either.
                Phase::Unknown => attempt.fence < fence,
                Phase::Running => attempt.phase_since < sent,
                Phase::Stopping if attempt.start_confirmed => attempt.phase_since < sent,
                Phase::Stopping => {
                    uncertain |= attempt.phase_since < sent;
                    attempt.fence < fence
                }
            };
            if gone {
                let phase = format!("{:?}", attempt.phase);
                log::info!(
                    task:% = task, run = run, worker:% = id, phase:% = phase, fence = fence;
                    "run not listed by its worker; releasing it"
                );
                blamed.extend(self.confirm_crash(task, run, id));
                self.release(task, run, id);
            }
        }
        self.fail_crashing_jobs(&blamed);
        if uncertain {
            self.fence_off(id, "stop order for a run that was never seen");
        }
    }

    /// Sends a stop order for a run, whether or not the cell has an attempt for it.
    pub(crate) fn send_stop(&mut self, id: &WorkerId, task: TaskId, run: u32) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let Some(addr) = worker.addr else {
            return;
        };
        self.outputs.push(Output::Stop {
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
