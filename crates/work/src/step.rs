//! One step of a job.

use cactuswheel_model::Millis;
use serde::{Deserialize, Serialize};

use crate::Room;

/// Equal tasks that may run side by side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    ///
    /// Invariant: at least 1.
    pub count: u32,
    /// What each task takes up.
    pub room: Room,
    /// The caller's guess of a task's run time; off by a factor of two as a rule.
    pub estimate: Millis,
    /// Steps that have to be done first.
    ///
    /// Invariant: each is lower than the step's own number.
    pub after: Vec<u32>,
    /// Label that the worker must have.
    pub label: Option<String>,
    /// Rack where the data is; elsewhere a task takes longer.
    pub near: Option<String>,
    /// Most tasks of the step on one worker; 0 for no limit.
    pub spread: u32,
    /// Name of what the tasks run; tasks of one image behave alike.
    pub image: Option<String>,
    /// Bound on the tail latency of what the tasks serve; 0 for tasks that serve nobody.
    pub target: Millis,
    /// Most tasks that the system itself may have away at once; `None` for no budget.
    pub budget: Option<u32>,
    /// The tasks run only all together and end together.
    pub gang: bool,
    /// The tasks take longer when they run on more than one rack.
    pub tight: bool,
    /// The tasks keep checkpoints and can resume from them.
    pub resumable: bool,
    /// Copies of a task may run side by side; the first that ends counts.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub lasting: bool,
    /// The tasks take the processor time that others leave over; their `cpu` is not reserved.
    pub filler: bool,
}

impl Step {
    /// What one task takes away from a worker's room.
    pub fn reserved(&self) -> Room {
        match self.filler {
            true => Room {
                cpu: 0,
                ..self.room
            },
            false => self.room,
        }
    }

    /// Whether the tasks serve users of their own, with a bound on their latency.
    pub fn serves(&self) -> bool {
        self.target.get() > 0
    }
}
