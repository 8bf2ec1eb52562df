//! Control of workers: drain, resume and reboot.

use cactuswheel_model::{Incarnation, InstanceId, Offset};
use serde::{Deserialize, Serialize};

/// The incarnation that an order to a worker is for, and the fencing token of the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerOrder {
    /// The incarnation of the worker. An order for another incarnation is refused.
    pub incarnation: Incarnation,
    /// The fencing token: the log offset of the outage grant that the order is based on. After a
    /// resume, orders with the same or a lower token are refused.
    pub fence: Offset,
}

/// The operating state of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Activity {
    /// The worker accepts work.
    Serving,
    /// The worker finishes its work and accepts no more. Holds the fencing token of the drain
    /// order.
    Draining(Offset),
    /// The worker is down.
    Down,
}

/// The platform's view of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerState {
    /// The instance that the worker runs on.
    pub id: InstanceId,
    /// The incarnation of the worker.
    pub incarnation: Incarnation,
    /// The operating state of the worker.
    pub activity: Activity,
    /// Number of requests and tasks in flight on the worker; `None` if the worker does not report
    /// it.
    pub running: Option<u32>,
}

/// Error of an order to a worker.
#[derive(Debug, thiserror::Error)]
pub enum WorkerError {
    /// Worker control is unavailable; the order had no effect.
    #[error("worker control unavailable: {0}")]
    Unavailable(String),
    /// The outcome is unknown; the order may have taken effect.
    #[error("worker control gave no answer: {0}")]
    Unknown(String),
    /// The order names another incarnation or a fencing token that is no longer valid.
    #[error("worker control refused: {0}")]
    Refused(String),
}

/// The platform's control of workers. All orders are idempotent.
pub trait Workers: Send + Sync + 'static {
    /// Stops an instance from accepting new work.
    fn drain(
        &self,
        instance: &InstanceId,
        order: WorkerOrder,
    ) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Lets an instance accept work again and invalidates all fencing tokens up to the order's.
    fn resume(
        &self,
        instance: &InstanceId,
        order: WorkerOrder,
    ) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Reboots an instance, which comes back with its next incarnation.
    fn reboot(
        &self,
        instance: &InstanceId,
        order: WorkerOrder,
    ) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Reads the states of some workers. Unknown instances are omitted.
    fn states(
        &self,
        instances: &[InstanceId],
    ) -> impl Future<Output = Result<Vec<WorkerState>, WorkerError>> + Send;
}
