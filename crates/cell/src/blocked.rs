//! Steps that the registered workers cannot run, whatever is free.

use cactuswheel_model::Map;
use cactuswheel_work::{Room, ServiceName, Step, StepId};

use crate::advice::Candidates;
use crate::cell::Cell;
use crate::job::Job;
use crate::run_state::StepRun;
use crate::schedule::{attempts_by_worker, free_tasks};
use crate::shape::{Shape, sum_up_to};
use crate::worker::Worker;

/// The tasks of a job that have no attempt.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    /// Number of the tasks that the registered workers can run, now or after earlier steps.
    pub(crate) tasks: u64,
    /// Work of those tasks, in thousandths of a core times milliseconds.
    pub(crate) work: u64,
    /// What the steps that are ready require, if the registered workers can run none of them; empty
    /// if they can run one of them.
    pub(crate) blocked: Vec<Shape>,
}

impl Cell {
    /// The tasks of a job that have no attempt.
    ///
    /// A job with nothing but blocked steps waits apart from the others of its service. In the queue
    /// it would use up a part of every scheduling cycle, and a few dozen of them would keep all other
    /// jobs from starting. Blocked steps and the steps after them do not delay other jobs either, so
    /// they are not counted as work.
    pub(crate) fn waiting(&self, job: &Job, service: &ServiceName) -> Waiting {
        let mut waiting = Waiting::default();
        let mut startable = false;
        for turn in &job.turns {
            let mut reached: Vec<bool> = Vec::with_capacity(job.sub.steps.len());
            for (number, step) in job.sub.steps.iter().enumerate() {
                let run = &turn.steps[number];
                let free = run.tasks.iter().filter(|t| t.is_pending()).count() as u64;
                let id = job.step_id(turn.number, number);
                let blocked = free > 0 && self.is_blocked(id, run, step, service);
                let open = step.after.iter().all(|&s| reached[s as usize]);
                reached.push(open && !blocked);
                if open && !blocked {
                    waiting.tasks += free;
                    waiting.work += free * step.room.cpu * step.estimate.get();
                }
                if turn.is_ready(step) && !free_tasks(run, step).is_empty() {
                    startable |= !blocked;
                    waiting.blocked.extend(blocked.then(|| Shape::of(step)));
                }
            }
        }
        if startable {
            waiting.blocked.clear();
        }
        waiting
    }

    /// Whether the registered workers cannot run one more task of a step, or all tasks of a gang at
    /// once, whatever is free: they lack the label, the size or the permission, or have as many
    /// tasks of the step as its spread allows. So is a step that its team's quota never admits. While
    /// a service has no worker at all, none of its steps counts as blocked.
    pub(crate) fn is_blocked(
        &self,
        id: StepId,
        run: &StepRun,
        step: &Step,
        service: &ServiceName,
    ) -> bool {
        let roster = self.workers.roster();
        if roster.is_empty(service) {
            return false;
        }
        let needed = step.least_at_once();
        let cap = self.jobs.get(&id.job).map(|job| self.quota(job).1);
        if cap.is_some_and(|c| !c.admits(Room::default(), step.room * needed)) {
            return true;
        }
        let per_worker = match step.spread {
            0 => Map::default(),
            _ => attempts_by_worker(run),
        };
        let places = |w: &Worker| w.places(step, per_worker.get(&w.id).copied());
        let suited = || {
            let numbers = roster.suited(service, step);
            numbers.filter_map(|n| self.workers.by_number(n))
        };
        let found = match self.candidates(id) {
            Candidates::Unknown => return false,
            Candidates::All if per_worker.is_empty() => roster.places(service, step, needed),
            Candidates::All => sum_up_to(needed, suited().map(places)),
            Candidates::Except(denied) => {
                let open = suited().filter(|w| !denied.contains(&w.id));
                sum_up_to(needed, open.map(places))
            }
            Candidates::Only(granted) => {
                let granted = granted.iter().filter_map(|id| self.workers.get(id));
                let suited = granted.filter(|w| w.belongs_to(service) && w.suits(step));
                sum_up_to(needed, suited.map(places))
            }
        };
        found < needed
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
    /// Number of a step's tasks that the worker could run at once if it were empty but for the
    /// tasks of the step on it.
    fn places(&self, step: &Step, running: Option<u32>) -> u64 {
        let Some(entry) = &self.entry else {
            return 0;
        };
        let below_spread = match step.spread {
            0 => u64::MAX,
            most => u64::from(most.saturating_sub(running.unwrap_or_default())),
        };
        step.tasks_on(entry.room).min(below_spread)
    }
}
