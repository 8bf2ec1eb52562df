//! Input of a decision.

use cactuswheel_work::{Room, StepId, TaskId, WorkerId};

use crate::returns::Returns;

/// State of a pool in which waiting work found no room.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Waiting steps in the order in which they are scheduled, best first.
    pub demands: Vec<Demand>,
    /// Workers that may run the demands.
    pub candidates: Vec<Candidate>,
    /// Room that becomes free by itself.
    pub returns: Returns,
    /// Time from a stop order until a task can start in its room, in milliseconds.
    pub stop_ms: u64,
}

/// Tasks of a step that wait, and are in time if they start soon enough.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The step.
    pub step: StepId,
    /// Room that each task requests.
    pub room: Room,
    /// Number of tasks for which no room is free or reserved.
    pub tasks: u64,
    /// Time until the latest start that is in time, in milliseconds.
    pub slack_ms: u64,
    /// Expected run time of a task, in milliseconds.
    pub run_ms: u64,
    /// Priority of the queue; the lowest comes first.
    pub priority: u32,
}

/// A worker on which runs may be stopped.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The worker.
    pub worker: WorkerId,
    /// Room that is not allocated.
    pub free: Room,
    /// Runs that may be stopped.
    pub victims: Vec<Victim>,
}

/// Why a run gives way to the waiting work, least loss for its caller first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VictimClass {
    /// Its job is no longer useful to its caller.
    Overdue,
    /// Its job misses its objective anyway.
    Late,
    /// Its job is beyond its team's share.
    OverShare,
    /// Its queue has a lower priority than a queue of priority 0, which may preempt others.
    LowerPriority,
}

impl VictimClass {
    /// Short name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Overdue => "overdue",
            Self::Late => "late",
            Self::OverShare => "over share",
            Self::LowerPriority => "lower priority",
        }
    }
}

/// A run that may be stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Victim {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
    /// Room of the run.
    pub room: Room,
    /// Why the run gives way.
    pub class: VictimClass,
    /// Priority of the run's queue.
    pub priority: u32,
    /// Work thrown away by a stop, in thousandths of a core times milliseconds.
    pub lost: u64,
    /// Expected time until the run ends by itself, in milliseconds.
    pub left_ms: u64,
}
