//! Orders to start a run.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::TaskId;

/// Starts a run on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// Number of this run.
    pub run: u32,
    /// Spec of the job, which tells the worker what to run.
    pub spec: Arc<str>,
    /// When the lease of all runs on the worker expires, in milliseconds on the worker's clock.
    pub expiry: u64,
    /// Incarnation of the worker that the order is meant for, as its start in milliseconds since
    /// 1970. `expiry` is a time on its clock; another incarnation must not receive the order.
    pub born: u64,
    /// Fencing token.
    pub fence: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Permission of the policy service, if the queue requires one.
    pub ticket: Option<String>,
}

/// Why a start order was refused. The order certainly has not started the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// The worker has seen a higher fencing token.
    Fence,
    /// The number of the run is not higher than that of a run of the task which has ended or was
    /// stopped on the worker.
    Old,
    /// The lease of the order has expired already.
    Late,
    /// The worker does not have enough free resources.
    Room,
    /// The permission of the policy service is missing or has expired.
    Ticket,
    /// Another worker, or another incarnation of the worker, uses this address.
    OtherLife,
    /// The worker is unhealthy.
    Unhealthy,
    /// The order is malformed.
    Malformed,
}

/// Outcome of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartOutcome {
    /// The run exists on the worker.
    Started,
    /// The order was refused, and has certainly not started the run.
    Refused(StartRefusal),
    /// The order was never sent.
    NotSent,
    /// The outcome is unknown: the run may start, now or later.
    Unknown,
}
