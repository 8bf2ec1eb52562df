//! Processing of the runs that a worker lists as running.

use std::time::Duration;

use cactuswheel_model::{Millis, Time};
use cactuswheel_work::{Running, TaskId, WorkerId};

use crate::attempt::{Attempt, Phase};
use crate::cell::Cell;
use crate::health::Trial;
use crate::progress::{Expected, Progress};
use crate::worker::Allocation;

/// Time after which a stop order is repeated if the worker still lists the run.
const STOP_RETRY: Duration = Duration::from_millis(400);

/// What has to be done about a listed run.
enum RunAction {
    /// Stop it: the cell has no attempt for it.
    StopUnwanted,
    /// Repeat the stop order, which was sent some time ago.
    RepeatStop,
    /// Stop it and restart it elsewhere: it makes no progress.
    Relocate,
}

impl Cell {
    /// Processes the list of a worker's running runs.
    pub(crate) fn apply_running(&mut self, id: &WorkerId, running: &[Running]) {
        if let Some(worker) = self.workers.get_mut(id) {
            let lasting = |r: &&Running| worker.allocations.get(&r.task).is_some_and(|h| h.lasting);
            let mut lasting = running.iter().filter(lasting);
            worker.warming_up = lasting.any(|r| r.percent < 100);
        }
        let mut stray = false;
        for row in running {
            let (task, run) = (row.task, row.run);
            match self.apply_row(id, row) {
                None => {}
                Some(RunAction::Relocate) => self.relocate_stalled(id, task, run),
                Some(RunAction::RepeatStop) => self.send_stop(id, task, run),
                Some(RunAction::StopUnwanted) => {
                    stray = true;
                    log::warn!(task:% = task, run = run, worker:% = id; "stopping unexpected run");
                    self.send_stop(id, task, run);
                }
            }
        }
        self.pass_trials(id);
        if let Some(worker) = self.workers.get_mut(id) {
            self.reschedule |= worker.stray_run && !stray;
            worker.stray_run = stray;
        }
    }

    /// Finds the runs on a worker after its pause that show it to be well.
    fn pass_trials(&mut self, id: &WorkerId) {
        let now = self.now;
        let Some(worker) = self.workers.get(id).filter(|w| w.health.is_recovering()) else {
            return;
        };
        let time = worker.health.trial_time();
        let at_work = |task: TaskId, run: &Allocation| {
            let attempt = self.attempt(task, run.run, id);
            attempt.is_some_and(|a| match run.lasting {
                true => a.is_active() && now.since(a.started) >= time,
                false => a.progress.percent > 0 && now.since(a.started) >= time,
            })
        };
        let open = worker.allocations.iter();
        let open = open.filter(|(_, run)| run.trial == Trial::Open);
        let passed = open.filter(|(task, run)| at_work(**task, run));
        let passed: Vec<TaskId> = passed.map(|(task, _)| *task).collect();
        let Some(worker) = self.workers.get_mut(id).filter(|_| !passed.is_empty()) else {
            return;
        };
        log::info!(
            worker:% = id, runs = passed.len() as u64, trial_ms = time.as_millis() as u64;
            "runs are at work on a worker that was paused"
        );
        for task in passed {
            if let Some(run) = worker.allocations.get_mut(&task) {
                run.trial = Trial::Passed;
            }
        }
        self.reschedule = true;
    }

    fn apply_row(&mut self, id: &WorkerId, row: &Running) -> Option<RunAction> {
        let now = self.now;
        let job_id = row.task.job();
        if self.jobs.get(&job_id).is_some_and(|j| !j.started) {
            // A job's rank changes once it has started.
            if let Some(job) = self.jobs.get_mut(&job_id) {
                job.started = true;
            }
        }
        let Some(job) = self.jobs.get_mut_untracked(&job_id) else {
            return Some(RunAction::StopUnwanted);
        };
        let step = job.step(row.task);
        let lasting = step.is_some_and(|s| s.lasting);
        let estimate = step.map(|s| s.estimate).unwrap_or_default();
        let learned = self.queue_stats.get(&job.sub.queue);
        let run_time = learned.map_or(0, |l| l.run_time(estimate));
        let Some(step) = job.step_run_mut(row.task) else {
            return Some(RunAction::StopUnwanted);
        };
        let index = row.task.index;
        let is_row = |c: &Attempt| c.worker == *id && c.run == row.run;
        let task = step.tasks.get(index as usize);
        if !task.is_some_and(|t| t.attempts.iter().any(is_row)) {
            return Some(RunAction::StopUnwanted);
        }
        step.record_checkpoint(index, &row.checkpoint);
        let task = step.tasks.get_mut(index as usize)?;
        task.started = true;
        let attempt = task.attempts.iter_mut().find(|c| is_row(c))?;
        record_row(attempt, row, now);
        if attempt.phase == Phase::Stopping && now.since(attempt.phase_since) >= STOP_RETRY {
            attempt.phase_since = now;
            return Some(RunAction::RepeatStop);
        }
        let expected = Expected {
            lasting,
            run_time: estimate.max(Millis::new(run_time)),
            stalls: task.stalls,
        };
        let stalled = self.policy.progress
            && attempt.phase == Phase::Running
            && attempt.progress.is_stalled(expected, now);
        stalled.then_some(RunAction::Relocate)
    }

    /// Stops a run that makes no progress, so that its task is restarted on another worker.
    fn relocate_stalled(&mut self, id: &WorkerId, task: TaskId, run: u32) {
        let now = self.now;
        log::warn!(task:% = task, run = run, worker:% = id; "run stalled; restarting it on another worker");
        let mut repeated = false;
        let job = self.jobs.get_mut(&task.job());
        if let Some(state) = job.and_then(|j| j.task_mut(task)) {
            state.failed_on = Some(id.clone());
            state.stalls += 1;
            repeated = state.stalls > 1;
        }
        // Runs of a task that stall on one worker after the other say nothing about the workers.
        if !repeated && let Some(worker) = self.workers.get_mut(id) {
            worker.pause(now);
        }
        self.stop(task, run, id);
    }
}

/// Updates an attempt from the worker's row for it.
fn record_row(attempt: &mut Attempt, row: &Running, now: Time) {
    attempt.start_confirmed = true;
    attempt.listed = true;
    attempt.crash = None;
    if matches!(
        attempt.phase,
        Phase::Planned | Phase::Ordered | Phase::Unknown
    ) {
        attempt.enter(Phase::Running, now);
        attempt.started = now;
        attempt.progress = Progress::new(now);
    }
    attempt.progress.record(row.percent, now);
    attempt.gauge = row.gauge;
}
