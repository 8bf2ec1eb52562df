//! The places chosen for a step's tasks in one scheduling cycle.

use cactuswheel_model::Map;
use cactuswheel_work::{Cap, Room, Step, StepId, TaskId, WorkerEntry, WorkerId};

use crate::place::Affinity;
use crate::run_state::Task;

/// A task and the worker that takes it; its room is taken already.
pub(crate) struct Choice {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    pub(crate) worker: WorkerId,
}

impl Choice {
    pub(crate) fn new(step: StepId, index: usize, task: &Task, worker: WorkerId) -> Self {
        let index = index as u32;
        Self {
            task: TaskId { step, index },
            run: task.run + 1,
            worker,
        }
    }
}

/// The places chosen for a step's tasks so far, and what follows for the next one.
pub(crate) struct Choices {
    pub(crate) made: Vec<Choice>,
    /// Tasks of the step on each worker; left empty if that does not matter.
    pub(crate) per_worker: Map<WorkerId, u32>,
    /// Rack on which the step begins, where that matters.
    pub(crate) rack: Option<String>,
    pub(crate) affinity: Option<Affinity>,
    /// What the team has running with them.
    pub(crate) used: Room,
    pub(crate) cap: Cap,
}

impl Choices {
    pub(crate) fn add(&mut self, choice: Choice, step: &Step, entry: Option<&WorkerEntry>) {
        if let Some(entry) = entry {
            self.affinity.get_or_insert_with(|| Affinity::of(entry));
            if step.tight && self.rack.is_none() {
                self.rack = entry.rack().map(str::to_owned);
            }
        }
        self.used += step.room;
        if step.spread > 0 {
            *self.per_worker.entry(choice.worker.clone()).or_default() += 1;
        }
        self.made.push(choice);
    }
}
