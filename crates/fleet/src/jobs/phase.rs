//! Where a job is in its life.

use cactuswheel_model::{Incarnation, InstanceId, Room};
use serde::{Deserialize, Serialize};

/// The state of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobPhase {
    /// It waits for a worker.
    Queued,
    /// An attempt is on a worker, or on its way there.
    Placed {
        /// The worker.
        worker: InstanceId,
        /// The worker's life.
        incarnation: Incarnation,
        /// What is set aside.
        room: Room,
    },
    /// It came to its end.
    Done,
    /// It failed on as many different workers as are tried.
    Failed,
    /// It was cancelled; no attempt runs.
    Cancelled,
    /// Its attempt was lost and must not be repeated: whether it ran is not known.
    Unknown,
}

impl JobPhase {
    /// Whether nothing more will happen to the job.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Queued | Self::Placed { .. })
    }
}
