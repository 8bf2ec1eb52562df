//! Steps of jobs.

use cactuswheel_model::Millis;
use serde::{Deserialize, Serialize};

use crate::Room;

/// A step of a job: a number of equal tasks that may run in parallel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    ///
    /// Invariant: at least 1.
    pub count: u32,
    /// Resources of each task.
    pub room: Room,
    /// The caller's estimate of the run time of a task; typically wrong by a factor of two.
    pub estimate: Millis,
    /// Steps that have to complete before this one starts.
    ///
    /// Invariant: each is lower than the index of this step.
    pub after: Vec<u32>,
    /// Label that a worker must have to run the tasks.
    pub label: Option<String>,
    /// Rack that holds the data of the tasks; on other racks they take longer.
    pub near: Option<String>,
    /// Maximum number of tasks of the step on one worker; 0 for no limit.
    pub spread: u32,
    /// Name of the program that the tasks run; tasks with the same image behave alike.
    pub image: Option<String>,
    /// Target of the tail latency of tasks that serve requests; 0 for other tasks.
    pub target: Millis,
    /// Disruption budget: the maximum number of tasks that the system itself may keep from running
    /// at a time; `None` for no budget.
    pub budget: Option<u32>,
    /// The tasks are a gang: they run only all together, and end together.
    pub gang: bool,
    /// The tasks take longer when they run on more than one rack.
    pub tight: bool,
    /// The tasks write checkpoints and can resume from them.
    pub resumable: bool,
    /// A task may have several runs in parallel; the first one to complete counts.
    pub speculative: bool,
    /// The tasks are long-running: they run until the job is cancelled.
    pub lasting: bool,
    /// The tasks only use processor time that other tasks leave free; their `cpu` is not reserved.
    pub filler: bool,
}

impl Step {
    /// The resources that are reserved for a task on its worker.
    pub fn reserved(&self) -> Room {
        match self.filler {
            true => Room {
                cpu: 0,
                ..self.room
            },
            false => self.room,
        }
    }

    /// Number of the step's tasks that an otherwise empty worker with this room can run at once.
    pub fn tasks_on(&self, room: Room) -> u64 {
        let most = match self.spread {
            0 => u64::MAX,
            spread => u64::from(spread),
        };
        self.reserved().times_in(room).min(most)
    }

    /// Number of tasks that have to run at once for any of them to run.
    pub fn least_at_once(&self) -> u64 {
        match self.gang {
            true => u64::from(self.count),
            false => 1,
        }
    }

    /// Whether the tasks serve requests and have a target of the tail latency.
    pub fn serves(&self) -> bool {
        self.target.get() > 0
    }
}
