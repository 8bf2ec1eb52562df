//! The state of an occurrence, its steps and their tasks.

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
    /// Runs of the whole gang that failed; none for a step that is no gang.
    pub(crate) fails: Vec<u32>,
    /// Run time of the longest task that this owner saw done.
    pub(crate) longest: Duration,
}

/// One task.
#[derive(Debug, Clone, Default)]
pub(crate) struct Task {
    /// Number of the newest run; 0 before the first.
    pub(crate) run: u32,
    /// Runs that ended as failed. Their numbers, since an end may be listed again to a new owner.
    pub(crate) fails: Vec<u32>,
    pub(crate) done: bool,
    /// Whether a run was ever seen to start.
    pub(crate) started: bool,
    pub(crate) checkpoint: String,
    /// Runs that are, or may be, somewhere.
    ///
    /// Invariant: at most one unless the step is speculative; all on different workers.
    pub(crate) attempts: Vec<Attempt>,
    /// Its last run was given up while its worker was silent, and may have been done.
    pub(crate) abandoned: bool,
    /// Workers that ended under it, oldest first; none once it has been at work for long.
    pub(crate) crashes: Vec<Crash>,
    /// Worker of the last run that failed.
    pub(crate) failed_on: Option<cactuswheel_work::WorkerId>,
}

impl Turn {
    pub(crate) fn new(number: u32, steps: &[Step]) -> Self {
        let steps = steps.iter().map(StepRun::new).collect();
        Self { number, steps }
    }

    /// Whether every step that `step` waits for is done.
    pub(crate) fn is_ready(&self, step: &Step) -> bool {
        step.after.iter().all(|&s| self.steps[s as usize].is_done())
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
            fails: Vec::new(),
            longest: Duration::ZERO,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

impl Task {
    /// Whether its last run may have taken its worker down: it starts apart from other starts.
    pub(crate) fn is_suspect(&self) -> bool {
        self.crashes.last().is_some_and(|c| c.fresh)
    }

    /// Whether it should run and has no run anywhere.
    pub(crate) fn is_pending(&self) -> bool {
        !self.done && self.attempts.is_empty()
    }
}
