//! Processing of end records, in which workers report how runs ended.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::{End, EndReason, JobState, Step, TaskId, WorkerId};

use crate::attempt::{Attempt, Phase};
use crate::cell::Cell;
use crate::job::Job;

impl Cell {
    /// Processes an end record.
    pub(crate) fn apply_end(&mut self, id: &WorkerId, end: &End) {
        let (task, run) = (end.task, end.run);
        if end.how == EndReason::Done && self.may_have_restarted(task, run) {
            self.withhold_end(id, end);
        }
        let attempt = self.attempt_mut(task, run, id);
        let Some((phase, started)) = attempt.map(|c| (c.phase, c.started)) else {
            self.apply_late_end(id, end);
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job()) else {
            return;
        };
        job.started = true;
        let sub = job.sub.clone();
        let Some(step) = sub.steps.get(task.step.step as usize) else {
            return;
        };
        let open = job.is_open();
        if let Some(state) = job.task_mut(task) {
            state.started = true;
        }
        if step.resumable
            && let Some(run) = job.step_run_mut(task)
        {
            run.record_checkpoint(task.index, &end.checkpoint);
        }
        let how = end.how;
        if open
            && how != EndReason::Done
            && !(how == EndReason::Stopped && phase == Phase::Stopping)
        {
            log::info!(
                task:% = task, run = run, worker:% = id, how:? = how, number = end.number;
                "run ended without completing"
            );
        }
        self.release(task, run, id);
        match how {
            EndReason::Done => {
                self.learn_run(task, step, started);
                self.task_done(id, task, step.gang);
            }
            EndReason::Failed => {
                let ran = self.now.since(started);
                self.task_failed(id, task, run, step, ran);
            }
            EndReason::Stopped | EndReason::Expired | EndReason::Broken | EndReason::Alone => {}
        }
    }

    /// Updates the run-time estimate of a queue with a completed task.
    fn learn_run(&mut self, task: TaskId, step: &Step, started: Time) {
        if !self.policy.learn {
            return;
        }
        let took = self.now.since(started);
        let Some(job) = self.jobs.get_mut(&task.job()) else {
            return;
        };
        let learned = self.queue_stats.entry(job.sub.queue.clone()).or_default();
        learned.task_done(step.estimate, took);
        let Some(run) = job.step_run_mut(task) else {
            return;
        };
        run.longest = run.longest.max(took);
        if run.done + 1 == step.count {
            learned.step_done(step.estimate, run.longest);
        }
    }

    /// Processes an end record of a run without an attempt: the run was abandoned, or an earlier
    /// owner already processed its end.
    ///
    /// A worker that did not answer for longer than its lease may report an abandoned run as
    /// done. Running the task again would repeat its work, so the end counts even if the task has
    /// been restarted on another worker. Processing the same end record twice has no further
    /// effect.
    fn apply_late_end(&mut self, id: &WorkerId, end: &End) {
        let (task, run) = (end.task, end.run);
        let Some(job) = self.jobs.get_mut(&task.job()) else {
            return;
        };
        let open = job.is_open();
        let Some(step) = job.step(task).cloned() else {
            return;
        };
        let Some(state) = job.task_mut(task) else {
            return;
        };
        if !open || state.done || run > state.run {
            return;
        }
        match end.how {
            EndReason::Done => {
                log::info!(task:% = task, run = run, worker:% = id; "abandoned run had completed");
                let others: Vec<_> = state
                    .attempts
                    .iter()
                    .map(|c| (c.run, c.worker.clone()))
                    .collect();
                self.task_done(id, task, step.gang);
                for (run, worker) in others {
                    self.stop(task, run, &worker);
                }
            }
            EndReason::Failed => self.task_failed(id, task, run, &step, Duration::ZERO),
            EndReason::Stopped | EndReason::Expired | EndReason::Broken | EndReason::Alone => {}
        }
    }

    /// Whether a run was abandoned because its worker did not answer, and its task was then
    /// restarted. So it may be for a job that is not known any more: the ends of all its other runs
    /// were acknowledged long before it was forgotten.
    fn may_have_restarted(&self, task: TaskId, run: u32) -> bool {
        let finished = self.finished.get(&task.job()).map(|k| &k.job.redone);
        let open = self.jobs.get(&task.job()).map(|j| &j.redone);
        let redone = finished.or(open);
        redone.is_none_or(|all| all.iter().any(|r| r.task == task && run < r.run))
    }

    /// Keeps an end record from ever being acknowledged, unless the worker's lease is known to
    /// have expired after that end.
    fn withhold_end(&mut self, id: &WorkerId, end: &End) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.expired_end > end.number {
            return;
        }
        let first = worker
            .withheld_end
            .map_or(end.number, |n| n.min(end.number));
        worker.withheld_end = Some(first);
        log::warn!(
            task:% = end.task, run = end.run, worker:% = id, number = end.number;
            "worker unusable: it completed a run that had been abandoned"
        );
    }

    fn task_done(&mut self, id: &WorkerId, task: TaskId, gang: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.health.record_success();
        }
        let Some(job) = self.jobs.get_mut(&task.job()) else {
            return;
        };
        let Some(step) = job.step_run_mut(task) else {
            return;
        };
        let index = task.index as usize;
        for (i, state) in step.tasks.iter_mut().enumerate() {
            // The end of one member completes the whole gang.
            if (i == index || gang) && !state.done {
                state.done = true;
                step.done += 1;
            }
        }
        let others = step.tasks[index].attempts.iter();
        let others: Vec<_> = others.map(|c| (c.run, c.worker.clone())).collect();
        let complete = job.is_open() && job.is_done();
        self.dirty.insert(task.job());
        self.reschedule = true;
        for (run, worker) in others {
            self.stop(task, run, &worker);
        }
        if complete {
            self.complete(task);
        }
    }

    fn complete(&mut self, task: TaskId) {
        let now = self.now;
        if let Some(job) = self.jobs.get(&task.job()) {
            let took = now.since(job.arrived).as_millis() as u64;
            log::info!(
                job:% = task.job(), queue:% = job.sub.queue, took_ms = took,
                chain_ms = job.chain(), objective_ms = self.objective(job);
                "job complete"
            );
        }
        self.finish(task.job(), JobState::Complete);
    }

    fn task_failed(&mut self, id: &WorkerId, task: TaskId, run: u32, step: &Step, ran: Duration) {
        let now = self.now;
        let (gang, lasting) = (step.gang, step.lasting);
        if !lasting
            && self.policy.health
            && let Some(worker) = self.workers.get_mut(id)
            && worker.record_failure(task.job(), ran, now)
        {
            log::warn!(worker:% = id, job:% = task.job(); "worker paused after failed runs");
        }
        let Some(job) = self.jobs.get_mut(&task.job()) else {
            return;
        };
        let listed = self.config.queues.contains_key(&job.sub.queue);
        let attempts = self.queue_limits.attempts(&job.sub.queue);
        let Some(step) = job.step_run_mut(task) else {
            return;
        };
        let state = &mut step.tasks[task.index as usize];
        state.failed_on = Some(id.clone());
        let fails = match gang {
            true => &mut step.failed_runs,
            false => &mut state.failed_runs,
        };
        if !lasting && !fails.contains(&run) {
            fails.push(run);
        }
        let exhausted = !lasting && fails.len() >= attempts;
        let open = job.is_open();
        self.dirty.insert(task.job());
        self.reschedule = true;
        if exhausted && open && !listed {
            log::warn!(
                job:% = task.job(), task:% = task, worker:% = id, attempts = attempts as u64;
                "job held: a task has no attempts left and its queue is missing"
            );
            self.queue_limits.hold(task.job());
            return;
        }
        if exhausted && open {
            let arrived = self.jobs.get(&task.job()).map(|j| j.arrived);
            let took = arrived.map_or(0, |at| now.since(at).as_millis() as u64);
            log::warn!(
                job:% = task.job(), task:% = task, worker:% = id, attempts = attempts as u64,
                took_ms = took;
                "job failed: a task has no attempts left"
            );
            self.finish(task.job(), JobState::Failed);
        }
    }

    /// Frees the room, the team's quota and the task of a run that is over or was never started.
    pub(crate) fn release(&mut self, task: TaskId, run: u32, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.deallocate(task, run);
        }
        let Some(job) = self.jobs.get_mut(&task.job()) else {
            return;
        };
        let sub = job.sub.clone();
        let Some(state) = job.task_mut(task) else {
            return;
        };
        let mut attempts = state.attempts.iter();
        let Some(at) = attempts.position(|c| c.run == run && c.worker == *id) else {
            return;
        };
        let phase = state.attempts.remove(at).phase;
        let step = sub.steps.get(task.step.step as usize);
        if let Some(step) = step {
            self.usage.remove(sub.team.as_ref(), step.room);
        }
        if phase == Phase::Planned {
            self.planned.retain(|p| p.task != task || p.run != run);
        }
        self.dirty.insert(task.job());
        self.reschedule = true;
        if step.is_some_and(|s| s.gang) {
            self.stop_gang(task, run);
        }
    }

    /// Stops the remaining members of a gang that has lost one; a gang cannot work without all
    /// members.
    fn stop_gang(&mut self, task: TaskId, run: u32) {
        let Some(job) = self.jobs.get(&task.job()) else {
            return;
        };
        let Some(step) = job.step_run(task) else {
            return;
        };
        if step.is_done() {
            return;
        }
        let tasks = step.tasks.iter().enumerate();
        let left: Vec<_> = tasks
            .flat_map(|(i, t)| t.attempts.iter().map(move |c| (i, c)))
            .filter(|(_, c)| c.run == run && c.phase != Phase::Stopping)
            .map(|(i, c)| (i, c.worker.clone(), c.phase))
            .collect();
        for (index, worker, phase) in left {
            let member = TaskId {
                index: index as u32,
                ..task
            };
            match phase {
                Phase::Planned => self.release(member, run, &worker),
                _ => self.stop(member, run, &worker),
            }
        }
    }

    /// Orders a worker to stop a run. Its room stays allocated until the worker no longer lists
    /// it as running.
    pub(crate) fn stop(&mut self, task: TaskId, run: u32, id: &WorkerId) {
        let now = self.now;
        let Some(attempt) = self.attempt_mut(task, run, id) else {
            return;
        };
        if attempt.phase == Phase::Stopping {
            return;
        }
        attempt.enter(Phase::Stopping, now);
        self.send_stop(id, task, run);
    }

    /// Records that the journal holds a worker's end records up to `number`.
    pub(crate) fn acknowledge(&mut self, id: &WorkerId, born: u64, number: u64) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.born == born
        {
            worker.mark_journaled(number);
        }
    }

    pub(crate) fn attempt(&self, task: TaskId, run: u32, id: &WorkerId) -> Option<&Attempt> {
        let job = self.jobs.get(&task.job())?;
        let mut attempts = job.task(task)?.attempts.iter();
        attempts.find(|c| c.run == run && c.worker == *id)
    }

    pub(crate) fn attempt_mut(
        &mut self,
        task: TaskId,
        run: u32,
        id: &WorkerId,
    ) -> Option<&mut Attempt> {
        let job = self.jobs.get_mut_untracked(&task.job())?;
        let attempts = &mut job.task_mut(task)?.attempts;
        attempts
            .iter_mut()
            .find(|c| c.run == run && c.worker == *id)
    }

    /// Time in which the job should complete, in milliseconds, based on the caller's estimates.
    pub(crate) fn objective(&self, job: &Job) -> u64 {
        let queue = self.config.queues.get(&job.sub.queue);
        let (stretch, allowance) = queue.map_or((1.0, 0), |q| (q.stretch, q.allowance.get()));
        (job.chain() as f64 * stretch) as u64 + allowance
    }
}
