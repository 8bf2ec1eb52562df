//! Runs that a worker lists as being there.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::{Running, TaskId, WorkerId};

use crate::attempt::{Attempt, Phase};
use crate::cell::Cell;
use crate::progress::stands_still;

/// Time after which an order to stop is repeated if the run is still listed.
const STOP_AGAIN: Duration = Duration::from_millis(400);

/// What a listed run asks for.
enum Need {
    /// Nobody wants it there.
    Unwanted,
    /// It was told to stop, some time ago.
    StopAgain,
    /// It makes no progress.
    Leave,
}

impl Cell {
    /// Runs that are there.
    pub(crate) fn take_running(&mut self, id: &WorkerId, running: &[Running]) {
        if let Some(worker) = self.workers.get_mut(id) {
            let lasting = |r: &&Running| worker.held.get(&r.task).is_some_and(|h| h.lasting);
            let mut lasting = running.iter().filter(lasting);
            worker.waking = lasting.any(|r| r.percent < 100);
        }
        let mut stray = false;
        for row in running {
            let (task, run) = (row.task, row.run);
            match self.take_row(id, row) {
                None => {}
                Some(Need::Leave) => self.leave_sick(id, task, run),
                Some(Need::StopAgain) => self.send_stop(id, task, run),
                Some(Need::Unwanted) => {
                    stray = true;
                    log::warn!(task:% = task, run = run, worker:% = id; "unwanted run is stopped");
                    self.send_stop(id, task, run);
                }
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            self.stirred |= worker.stray && !stray;
            worker.stray = stray;
        }
    }

    fn take_row(&mut self, id: &WorkerId, row: &Running) -> Option<Need> {
        let now = self.now;
        let job_id = row.task.job();
        if self.jobs.get(&job_id).is_some_and(|j| !j.started) {
            // A job that has started ranks differently.
            if let Some(job) = self.jobs.get_mut(&job_id) {
                job.started = true;
            }
        }
        let Some(job) = self.jobs.get_mut_untracked(&job_id) else {
            return Some(Need::Unwanted);
        };
        let lasting = job.step(row.task).is_some_and(|s| s.lasting);
        let Some(task) = job.task_mut(row.task) else {
            return Some(Need::Unwanted);
        };
        let mut attempts = task.attempts.iter_mut();
        let attempt = attempts.find(|c| c.worker == *id && c.run == row.run);
        let Some(attempt) = attempt else {
            return Some(Need::Unwanted);
        };
        task.started = true;
        if !row.checkpoint.is_empty() {
            task.checkpoint.clone_from(&row.checkpoint);
        }
        see(attempt, row, now);
        if attempt.phase == Phase::Stopping && now.since(attempt.since) >= STOP_AGAIN {
            attempt.since = now;
            return Some(Need::StopAgain);
        }
        let still = self.policy.progress
            && attempt.phase == Phase::Running
            && stands_still(attempt, lasting, now);
        still.then_some(Need::Leave)
    }

    /// A run stands still where it is: it is stopped, and starts elsewhere.
    fn leave_sick(&mut self, id: &WorkerId, task: TaskId, run: u32) {
        let now = self.now;
        log::warn!(task:% = task, run = run, worker:% = id; "run stands still: it leaves its worker");
        let job = self.jobs.get_mut(&task.job());
        if let Some(state) = job.and_then(|j| j.task_mut(task)) {
            state.failed_on = Some(id.clone());
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.health.pause(now);
        }
        self.stop(task, run, id);
    }
}

/// Notes what a row says of a run.
fn see(attempt: &mut Attempt, row: &Running, now: Time) {
    attempt.sure = true;
    attempt.listed = true;
    attempt.crash = None;
    if matches!(
        attempt.phase,
        Phase::Planned | Phase::Ordered | Phase::Unknown
    ) {
        attempt.enter(Phase::Running, now);
        attempt.started = now;
        attempt.moved = now;
    }
    if row.percent > attempt.percent || row.percent >= 100 {
        attempt.moved = now;
    }
    attempt.percent = row.percent;
    attempt.gauge = row.gauge;
}
