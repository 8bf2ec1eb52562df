//! State of a job's occurrences, their steps and tasks.

use std::time::Duration;

use cactuswheel_work::Step;

use crate::attempt::Attempt;
use crate::crash::Crash;

/// One occurrence of a job.
#[derive(Debug, Clone)]
pub(crate) struct Turn {
    pub(crate) number: u32,
    pub(crate) steps: Vec<StepRun>,
}

/// One step of an occurrence.
#[derive(Debug, Clone)]
pub(crate) struct StepRun {
    pub(crate) tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub(crate) done: u32,
    /// Numbers of the gang's failed runs; empty unless the step is a gang.
    pub(crate) failed_runs: Vec<u32>,
    /// Index of the task whose checkpoint is the newest that this owner saw.
    pub(crate) newest_checkpoint: Option<u32>,
    /// Longest run time among the tasks that this owner saw complete.
    pub(crate) longest: Duration,
}

/// One task of a step.
#[derive(Debug, Clone, Default)]
pub(crate) struct Task {
    /// Number of the newest run; 0 before the first.
    pub(crate) run: u32,
    /// Numbers of the failed runs. The numbers are kept because an end record may be listed again
    /// to a new owner.
    pub(crate) failed_runs: Vec<u32>,
    pub(crate) done: bool,
    /// Whether any run of the task was seen to start.
    pub(crate) started: bool,
    pub(crate) checkpoint: String,
    /// Runs that are, or may be, on a worker.
    ///
    /// Invariant: at most one unless the step is speculative, and all on different workers.
    pub(crate) attempts: Vec<Attempt>,
    /// The last run was abandoned because its worker did not answer; it may have completed.
    pub(crate) abandoned: bool,
    /// Crashes of workers during the task's runs, oldest first; cleared once a run has been
    /// active for long.
    pub(crate) crashes: Vec<Crash>,
    /// Number of runs that this owner stopped as stalled.
    pub(crate) stalls: u32,
    /// Worker of the last failed run.
    pub(crate) failed_on: Option<cactuswheel_work::WorkerId>,
    /// Number of runs that this owner stopped for waiting work with a better rank.
    pub(crate) preempted: u32,
}

impl Turn {
    pub(crate) fn new(number: u32, steps: &[Step]) -> Self {
        let steps = steps.iter().map(StepRun::new).collect();
        Self { number, steps }
    }

    /// Whether all steps that `step` depends on are done.
    pub(crate) fn is_ready(&self, step: &Step) -> bool {
        step.after.iter().all(|&s| self.steps[s as usize].is_done())
    }

    /// Whether no run of the occurrence is, or may be, on a worker.
    pub(crate) fn has_no_attempts(&self) -> bool {
        let mut tasks = self.steps.iter().flat_map(|s| &s.tasks);
        tasks.all(|t| t.attempts.is_empty())
    }

    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(StepRun::is_done)
    }
}

impl StepRun {
    fn new(step: &Step) -> Self {
        Self {
            tasks: vec![Task::default(); step.count as usize],
            done: 0,
            failed_runs: Vec::new(),
            newest_checkpoint: None,
            longest: Duration::ZERO,
        }
    }

    /// Records the checkpoint that a run of a task has produced.
    pub(crate) fn record_checkpoint(&mut self, index: u32, value: &str) {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return;
        };
        if !value.is_empty() && task.checkpoint != value {
            value.clone_into(&mut task.checkpoint);
            self.newest_checkpoint = Some(index);
        }
    }

    /// Gives all tasks of a gang the newest checkpoint of any of them.
    ///
    /// Workers list the checkpoints of a gang's members one after the other. If each member resumed
    /// from the last one of its own, the members would resume from different points.
    pub(crate) fn share_checkpoint(&mut self) {
        let newest = self.newest_checkpoint.map(|i| &self.tasks[i as usize]);
        let mut all = newest.into_iter().chain(&self.tasks);
        let Some(task) = all.find(|t| !t.checkpoint.is_empty()) else {
            return;
        };
        let value = task.checkpoint.clone();
        for task in &mut self.tasks {
            task.checkpoint.clone_from(&value);
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

impl Task {
    /// Whether the last run may have crashed its worker; the task then starts apart from other
    /// starts.
    pub(crate) fn is_suspect(&self) -> bool {
        self.crashes.last().is_some_and(|c| c.fresh)
    }

    /// Whether the task is not done and has no run.
    pub(crate) fn is_pending(&self) -> bool {
        !self.done && self.attempts.is_empty()
    }
}
