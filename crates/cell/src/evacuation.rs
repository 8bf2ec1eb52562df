//! Evacuation of workers whose instances are needed elsewhere or are due for maintenance.

use std::time::Duration;

use cactuswheel_model::{Set, Time};
use cactuswheel_work::{Step, TaskId, WorkerId};

use crate::attempt::{Attempt, Phase};
use crate::cell::Cell;
use crate::demand::{remaining, shows_pace};
use crate::free_index::Scope;
use crate::job::Job;
use crate::run_state::StepRun;
use crate::schedule::attempts_by_worker;
use crate::worker::Worker;

/// Interval between attempts to stop long-running tasks on evacuating workers. A replacement is
/// seen to be active after some hundred milliseconds, and each attempt iterates over every run
/// that may have to be stopped.
const EVACUATION_INTERVAL: Duration = Duration::from_millis(20);

/// Disruption of a step when one of its long-running tasks is stopped.
#[derive(Default)]
struct Disruption {
    /// Other tasks of the step that are not known to be active.
    unavailable: u32,
    /// Maximum number of the step's tasks that may be unavailable at a time.
    budget: u32,
}

impl Cell {
    /// Closes a worker to new tasks. With `evacuate`, its long-running tasks are also stopped,
    /// within the disruption budgets of their steps.
    pub fn close(&mut self, id: &WorkerId, evacuate: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            let runs = worker.allocations.len() as u64;
            log::info!(worker:% = id, runs = runs, evacuate = evacuate; "worker closed to new tasks");
            worker.closed = true;
            worker.evacuating = evacuate;
        }
    }

    /// Sets the time by which a closed worker has to be empty, and evacuates it.
    pub fn vacate(&mut self, id: &WorkerId, by: Time) {
        if let Some(worker) = self.workers.get_mut(id) {
            let left = by.since(self.now).as_millis() as u64;
            let runs = worker.allocations.len() as u64;
            log::info!(worker:% = id, runs = runs, left_ms = left; "worker has to be empty in time");
            worker.closed = true;
            worker.evacuating = true;
            worker.vacate_by = Some(by);
        }
    }

    /// Closes a worker whose instance was ordered to move away; the end of this worker does not
    /// count as a crash.
    pub fn begin_removal(&mut self, id: &WorkerId) {
        self.removing.insert(id.clone());
        self.close(id, false);
    }

    /// Sets the workers whose instances are due for maintenance soon.
    pub fn expect_maintenance(&mut self, due: &Set<WorkerId>) {
        if self.maintenance_due != *due {
            self.maintenance_due.clone_from(due);
        }
    }

    /// Opens a closed worker to new tasks again.
    pub fn reopen(&mut self, id: &WorkerId) {
        self.removing.remove(id);
        if let Some(worker) = self.workers.get_mut(id) {
            log::info!(worker:% = id; "worker reopened for new tasks");
            worker.closed = false;
            worker.evacuating = false;
            worker.vacate_by = None;
            self.reschedule = true;
        }
    }

    /// Removes a worker whose instance has moved away; all its runs are lost.
    pub fn retire(&mut self, id: &WorkerId) {
        self.lose_all(id, "instance moved away");
        self.workers.remove(id);
        self.removing.remove(id);
    }

    /// Stops long-running tasks on evacuating workers, within the disruption budgets of their
    /// steps.
    pub(crate) fn evacuate(&mut self) {
        if self.now.since(self.last_evacuation) < EVACUATION_INTERVAL {
            return;
        }
        self.last_evacuation = self.now;
        self.workers.update_indexes();
        let mut lasting = Vec::new();
        for worker in self.workers.evacuating() {
            let runs = worker.allocations.iter().filter(|(_, h)| h.lasting);
            lasting.extend(runs.map(|(t, h)| (worker.id.clone(), *t, h.run)));
        }
        for (id, task, run) in lasting {
            let Some(disruption) = self.may_stop(task, &id) else {
                continue;
            };
            log::info!(
                task:% = task, run = run, worker:% = id, away = disruption.unavailable,
                budget = disruption.budget;
                "stopping long-running run on evacuating worker"
            );
            self.stop(task, run, &id);
        }
        self.stop_late_runs();
    }

    /// Stops the short runs that would keep a worker from being empty in time.
    ///
    /// Some tasks run for several times as long as the others. One such task on each of the last
    /// instances would hold a whole maintenance wave up beyond its deadline, while it can start
    /// again elsewhere, from its checkpoint if it has one.
    fn stop_late_runs(&mut self) {
        let mut late = Vec::new();
        for worker in self.workers.evacuating() {
            let Some(by) = worker.vacate_by else {
                continue;
            };
            let runs = worker.allocations.iter().filter(|(_, h)| !h.lasting);
            let runs = runs.map(|(t, h)| (*t, h.run));
            let runs = runs.filter(|(t, run)| self.ends_too_late(*t, *run, worker, by));
            late.extend(runs.map(|(t, run)| (worker.id.clone(), t, run, by)));
        }
        for (id, task, run, by) in late {
            let left = by.since(self.now).as_millis() as u64;
            let percent = self
                .attempt(task, run, &id)
                .map_or(0, |a| a.progress.percent);
            log::info!(
                task:% = task, run = run, worker:% = id, left_ms = left, percent = percent;
                "stopping run that would delay maintenance"
            );
            self.tallies.runs_vacated += 1;
            self.stop(task, run, &id);
        }
    }

    /// Whether a short run is to be stopped so that its worker is empty by `by`: if it shows by its
    /// progress that it would end later, and another worker has room for its task, or if a stop has
    /// to be ordered now to take effect in time. Gangs are left alone, since a stop of one member
    /// ends the others on all their workers.
    fn ends_too_late(&self, task: TaskId, run: u32, worker: &Worker, by: Time) -> bool {
        let Some(attempt) = self.attempt(task, run, &worker.id) else {
            return false;
        };
        let Some(job) = self.jobs.get(&task.job()) else {
            return false;
        };
        let (Some(step), Some(tasks)) = (job.step(task), job.step_run(task)) else {
            return false;
        };
        if step.gang || matches!(attempt.phase, Phase::Planned | Phase::Stopping) {
            return false;
        }
        if self.now.after(self.bounds.stop_time.duration()) >= by {
            return true;
        }
        let learned = self.queue_stats.get(&job.sub.queue);
        let run_time = learned.map_or(step.estimate.get(), |l| l.run_time(step.estimate));
        let end = Duration::from_millis(remaining(attempt, run_time, self.now.get()));
        shows_pace(attempt) && self.now.after(end) > by && self.fits_elsewhere(job, step, tasks)
    }

    /// Whether a long-running task may be stopped: the budget of its step permits it and another
    /// worker has room for the task. Returns the resulting disruption if so.
    fn may_stop(&self, task: TaskId, from: &WorkerId) -> Option<Disruption> {
        let Some(job) = self.jobs.get(&task.job()) else {
            return Some(Disruption::default());
        };
        let (Some(step), Some(run)) = (job.step(task), job.step_run(task)) else {
            return Some(Disruption::default());
        };
        let own = &run.tasks[task.index as usize];
        let active = |c: &Attempt| c.is_active() && self.has_current_status(c);
        let running = own.attempts.iter().all(|c| c.worker != *from || active(c));
        let others = run.tasks.iter().enumerate();
        let others = others.filter(|(i, _)| *i != task.index as usize);
        let unavailable = others.filter(|(_, t)| !t.attempts.iter().any(active));
        let unavailable = unavailable.count() as u32;
        let budget = step.budget.unwrap_or(1).max(1);
        let allowed = running && unavailable < budget && self.fits_elsewhere(job, step, run);
        allowed.then_some(Disruption {
            unavailable,
            budget,
        })
    }

    /// Whether the worker's last list is reliable evidence that a run is still active.
    ///
    /// The last list of a worker that missed a poll or whose lease may expire does not show what
    /// runs there now. For a run that an earlier owner started, the poll must also have been sent
    /// late enough for any stop ordered by that owner to have completed. Until then the run is
    /// listed as before, and a step with a budget of two would lose three tasks.
    fn has_current_status(&self, attempt: &Attempt) -> bool {
        let Some(worker) = self.workers.get(&attempt.worker) else {
            return false;
        };
        let stop = self.bounds.stop_time.duration();
        let stop_passed = worker
            .first_answer
            .is_some_and(|at| worker.last_alive > at.after(stop));
        // The first poll that a worker answers after missing one does not renew its lease.
        let lease_valid = worker.has_valid_lease(self.now);
        lease_valid && worker.missed_polls == 0 && (attempt.is_own() || stop_passed)
    }

    /// Whether another worker could take one more task of a step now.
    ///
    /// Otherwise a task would be stopped while every other worker lacks the step's label or
    /// already has as many of its tasks as the step's spread allows, and it would be unavailable
    /// until another instance arrives. A suitable worker has room, the label, and fewer tasks of
    /// the step than the spread.
    fn fits_elsewhere(&self, job: &Job, step: &Step, run: &StepRun) -> bool {
        let service = self.service_of(job);
        let per_worker = attempts_by_worker(run);
        let Some(free_index) = self.workers.free_index(&service) else {
            return false;
        };
        let roomy = free_index.emptiest(Scope::All, step.reserved().cpu);
        let mut open = roomy.filter_map(|n| self.workers.by_number(n));
        open.any(|w| {
            let Some(entry) = w.entry.as_ref().filter(|_| w.is_schedulable(self.now)) else {
                return false;
            };
            let tasks = per_worker.get(&w.id).copied().unwrap_or_default();
            let labelled = step.label.as_ref().is_none_or(|l| entry.labels.contains(l));
            let apart = step.spread == 0 || tasks < step.spread;
            labelled && apart && step.reserved().fits(w.free())
        })
    }
}
