//! Steps that no registered worker can run, whatever is free.

use cactuswheel_model::Map;
use cactuswheel_work::{ServiceName, Step, StepId, WorkerId};

use crate::advice::Candidates;
use crate::cell::Cell;
use crate::job::Job;
use crate::run_state::StepRun;
use crate::schedule::{attempts_by_worker, free_tasks};
use crate::shape::Shape;
use crate::worker::Worker;

impl Cell {
    /// What the waiting steps of a job require, if no registered worker can run any of them; empty
    /// if a worker can run one of them.
    ///
    /// Such a job waits apart from the others of its service. In the queue it would use up a part
    /// of every scheduling cycle, and a few dozen of them would keep all other jobs from starting.
    pub(crate) fn blocked_shapes(&self, job: &Job) -> Vec<Shape> {
        let service = self.service_of(job);
        let mut shapes = Vec::new();
        for turn in &job.turns {
            for (number, step) in job.sub.steps.iter().enumerate() {
                let run = &turn.steps[number];
                if run.is_done() || !turn.is_ready(step) || free_tasks(run, step).is_empty() {
                    continue;
                }
                let id = StepId {
                    job: job.sub.job,
                    turn: turn.number,
                    step: number as u32,
                };
                if !self.is_blocked(id, run, step, &service) {
                    return Vec::new();
                }
                shapes.push(Shape::of(step));
            }
        }
        shapes
    }

    /// Whether no registered worker can run one more task of a step, whatever is free: each lacks
    /// the label, the size or the permission, or has as many tasks of the step as its spread
    /// allows. While a service has no worker at all, none of its steps counts as blocked.
    pub(crate) fn is_blocked(
        &self,
        id: StepId,
        run: &StepRun,
        step: &Step,
        service: &ServiceName,
    ) -> bool {
        if self.workers.roster().is_empty(service) {
            return false;
        }
        let per_worker = match step.spread {
            0 => Map::default(),
            _ => attempts_by_worker(run),
        };
        let below_spread = |id: &WorkerId| {
            step.spread == 0 || per_worker.get(id).is_none_or(|tasks| *tasks < step.spread)
        };
        let suited = self.workers.roster().suited(service, step);
        let mut suited = suited.filter_map(|n| self.workers.by_number(n));
        match self.candidates(id) {
            Candidates::Unknown => false,
            Candidates::All => !suited.any(|w| below_spread(&w.id)),
            Candidates::Except(denied) => {
                !suited.any(|w| below_spread(&w.id) && !denied.contains(&w.id))
            }
            Candidates::Only(granted) => {
                let mut granted = granted.iter().filter_map(|id| self.workers.get(id));
                !granted.any(|w| w.belongs_to(service) && w.suits(step) && below_spread(&w.id))
            }
        }
    }
}

impl Worker {
    /// Whether the worker has the label and the size for a step, whatever is free on it.
    pub(crate) fn suits(&self, step: &Step) -> bool {
        self.entry.as_ref().is_some_and(|entry| {
            let labelled = step.label.as_ref().is_none_or(|l| entry.labels.contains(l));
            labelled && step.reserved().fits(entry.room)
        })
    }
}
