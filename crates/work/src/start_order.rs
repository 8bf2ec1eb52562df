//! Orders to start a run.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::TaskId;

/// Tells a worker to start a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// Number of this run.
    pub run: u32,
    /// What to run.
    pub spec: Arc<str>,
    /// When the lease of everything on the worker expires, on the worker's clock.
    pub expiry: u64,
    /// Fencing token.
    pub fence: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Permission of the policy service, where the queue asks for one.
    pub ticket: Option<String>,
}

/// Why a run was surely not started by an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// A higher fencing token was seen.
    Fence,
    /// The run is not higher than one that ended or was stopped there.
    Old,
    /// The lease would have expired already.
    Late,
    /// No room.
    Room,
    /// The policy service's permission is missing or has run out.
    Ticket,
    /// Another worker, or another life, is at this address.
    OtherLife,
    /// The worker is unhealthy.
    Unhealthy,
    /// The order is malformed.
    Malformed,
}

/// What became of an order to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartOutcome {
    /// The run is there.
    Started,
    /// It was surely not started.
    Refused(StartRefusal),
    /// It was never sent.
    NotSent,
    /// It may start, now or later.
    Unknown,
}
