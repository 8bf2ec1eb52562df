//! Workers chosen for the tasks of a step in one scheduling cycle.

use cactuswheel_model::Map;
use cactuswheel_work::{Cap, Room, Step, StepId, TaskId, WorkerEntry, WorkerId};

use crate::place::Affinity;
use crate::run_state::Task;

/// A task and the worker chosen for it. The room on the worker is already allocated.
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

/// The workers chosen for a step's tasks so far, and the state that constrains the next choice.
pub(crate) struct Choices {
    pub(crate) made: Vec<Choice>,
    /// Number of tasks of the step on each worker; left empty if the step has no spread limit.
    pub(crate) per_worker: Map<WorkerId, u32>,
    /// Rack on which the step runs, if it should stay on a single rack.
    pub(crate) rack: Option<String>,
    /// Data centre and rack of the job's first task.
    pub(crate) affinity: Option<Affinity>,
    /// Room used by the team's runs, including these choices.
    pub(crate) used: Room,
    /// The team's quota.
    pub(crate) cap: Cap,
}

impl Choices {
    /// Adds a choice; `entry` describes its worker.
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
