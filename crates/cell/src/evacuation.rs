//! Workers that are to be emptied, because their instances are wanted elsewhere or are due for
//! maintenance.

use std::time::Duration;

use cactuswheel_model::Set;
use cactuswheel_work::{Step, TaskId, WorkerId};

use crate::attempt::Attempt;
use crate::cell::Cell;
use crate::free_index::Scope;
use crate::job::Job;
use crate::run_state::StepRun;
use crate::schedule::attempts_by_worker;

/// Time between two tries to let lasting work leave: a start elsewhere is seen at work after
/// some hundred milliseconds, and each try looks at every run that may leave.
const EVACUATE_EVERY: Duration = Duration::from_millis(20);

/// What a step allows when one of its lasting tasks is stopped.
#[derive(Default)]
struct Disruption {
    /// Other tasks of the step that are not at work, as far as is known.
    away: u32,
    /// Tasks of the step that may be away at a time.
    budget: u32,
}

impl Cell {
    /// Gives a worker no more work; with `evacuate` lasting work leaves it, within its budget.
    pub fn close(&mut self, id: &WorkerId, evacuate: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            let runs = worker.held.len() as u64;
            log::info!(worker:% = id, runs = runs, evacuate = evacuate; "worker closed");
            worker.closing = true;
            worker.evacuating = evacuate;
        }
    }

    /// A worker's instance is ordered away: it gets no more work, and its end is no crash.
    pub fn send_away(&mut self, id: &WorkerId) {
        self.close(id, false);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.ordered = true;
        }
    }

    /// The instances of these workers are to be maintained before long.
    pub fn expect_maintenance(&mut self, due: &Set<WorkerId>) {
        if self.due != *due {
            self.due.clone_from(due);
        }
    }

    /// Gives a worker work again.
    pub fn reopen(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            log::info!(worker:% = id; "worker reopened");
            worker.closing = false;
            worker.ordered = false;
            worker.evacuating = false;
            self.stirred = true;
        }
    }

    /// A worker's instance was ordered away: everything there is gone.
    pub fn retire(&mut self, id: &WorkerId) {
        self.lose_all(id, "instance ordered away");
        self.workers.remove(id);
    }

    /// Lasting work leaves workers that are to be emptied, within its budget.
    pub(crate) fn evacuate(&mut self) {
        if self.now.since(self.last_evacuation) < EVACUATE_EVERY {
            return;
        }
        self.last_evacuation = self.now;
        self.workers.settle();
        let mut lasting = Vec::new();
        for worker in self.workers.evacuating() {
            let runs = worker.held.iter().filter(|(_, h)| h.lasting);
            lasting.extend(runs.map(|(t, h)| (worker.id.clone(), *t, h.run)));
        }
        for (id, task, run) in lasting {
            let Some(disruption) = self.may_stop(task, &id) else {
                continue;
            };
            log::info!(
                task:% = task, run = run, worker:% = id, away = disruption.away,
                budget = disruption.budget;
                "run leaves its worker"
            );
            self.stop(task, run, &id);
        }
    }

    /// Whether a lasting task may be stopped: its step's budget has room, and so has a worker.
    fn may_stop(&self, task: TaskId, from: &WorkerId) -> Option<Disruption> {
        let Some(job) = self.jobs.get(&task.job()) else {
            return Some(Disruption::default());
        };
        let (Some(step), Some(run)) = (job.step(task), job.step_run(task)) else {
            return Some(Disruption::default());
        };
        let mine = &run.tasks[task.index as usize];
        let at_work = |c: &Attempt| c.is_at_work() && self.is_telling(c);
        let running = mine
            .attempts
            .iter()
            .all(|c| c.worker != *from || at_work(c));
        let others = run.tasks.iter().enumerate();
        let others = others.filter(|(i, _)| *i != task.index as usize);
        let away = others.filter(|(_, t)| !t.attempts.iter().any(at_work));
        let away = away.count() as u32;
        let budget = step.budget.unwrap_or(1).max(1);
        let allowed = running && away < budget && self.has_place(job, step, run);
        allowed.then_some(Disruption { away, budget })
    }

    /// Whether what a worker lists of a run says that it goes on.
    ///
    /// What a silent worker said last is no word on what runs there now. Nor is what one lists of
    /// an earlier owner's run, unless the look was sent after a stop which that one may have ordered
    /// would be through: the run is listed as before meanwhile, and a step with a budget of two
    /// would lose three tasks.
    fn is_telling(&self, attempt: &Attempt) -> bool {
        let Some(worker) = self.workers.get(&attempt.worker) else {
            return false;
        };
        let stop = self.bounds.stop.duration();
        let met = worker.met.is_some_and(|at| worker.alive > at.after(stop));
        // A worker that was silent answers a look that renews nothing first.
        let holds = worker.is_assured(self.now);
        holds && worker.missed == 0 && (attempt.is_own() || met)
    }

    /// Whether a worker could take one more task of a step now.
    ///
    /// Failure: a task leaves while every other worker has as many of its step as its spread
    /// allows, or lacks its label, and it is away until an instance comes. One that could take
    /// it has room, the label, and fewer than that.
    fn has_place(&self, job: &Job, step: &Step, run: &StepRun) -> bool {
        let service = self.service_of(job);
        let beside = attempts_by_worker(run);
        let Some(free_index) = self.workers.free_index(&service) else {
            return false;
        };
        let roomy = free_index.emptiest(Scope::All, step.reserved().cpu);
        let mut open = roomy.filter_map(|n| self.workers.at(n));
        open.any(|w| {
            let Some(entry) = w.entry.as_ref().filter(|_| w.is_open(self.now)) else {
                return false;
            };
            let tasks = beside.get(&w.id).copied().unwrap_or_default();
            let labelled = step.label.as_ref().is_none_or(|l| entry.labels.contains(l));
            let apart = step.spread == 0 || tasks < step.spread;
            labelled && apart && step.reserved().fits(w.free())
        })
    }
}
