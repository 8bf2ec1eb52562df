//! Control of workers.

use cactuswheel_model::{Incarnation, InstanceId, Offset};
use serde::{Deserialize, Serialize};

/// Which life of an instance an order is for, and on whose grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerOrder {
    /// The life. An order for another life is refused.
    pub incarnation: Incarnation,
    /// The grant. An order on a grant at or below one that was resumed is refused.
    pub fence: Offset,
}

/// What a worker does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Activity {
    /// It takes work.
    Serving,
    /// It finishes its work, on the grant named.
    Draining(Offset),
    /// It is down.
    Down,
}

/// One worker, as the platform sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerState {
    /// The instance.
    pub id: InstanceId,
    /// Which of its lives.
    pub incarnation: Incarnation,
    /// What it does.
    pub activity: Activity,
    /// Requests and tasks that run on it; `None` if it does not say.
    pub running: Option<u32>,
}

/// Why an order was not carried out, as far as is known.
#[derive(Debug, thiserror::Error)]
pub enum WorkerError {
    /// The order did not take effect.
    #[error("worker control unavailable: {0}")]
    Unavailable(String),
    /// The order may have taken effect.
    #[error("worker control gave no answer: {0}")]
    Unknown(String),
    /// The order names another life or a grant that is over.
    #[error("worker control refused: {0}")]
    Refused(String),
}

/// The platform's control of workers; every order may be repeated.
pub trait Workers: Send + Sync + 'static {
    /// Keeps new work from an instance.
    fn drain(
        &self,
        instance: &InstanceId,
        order: WorkerOrder,
    ) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Lets an instance take work again and ends every grant up to this one.
    fn resume(
        &self,
        instance: &InstanceId,
        order: WorkerOrder,
    ) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Reboots an instance; it comes back in its next life.
    fn reboot(
        &self,
        instance: &InstanceId,
        order: WorkerOrder,
    ) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Looks at some instances; unknown ones are left out.
    fn states(
        &self,
        instances: &[InstanceId],
    ) -> impl Future<Output = Result<Vec<WorkerState>, WorkerError>> + Send;
}
