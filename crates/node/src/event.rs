//! What happens to the cell.

use std::net::SocketAddr;

use bytes::Bytes;
use cactuswheel_cell::{BatchId, Standing, StartDelay};
use cactuswheel_model::Time;
use cactuswheel_relay::{Offer, Reply};
use cactuswheel_work::{
    Instance, InstanceOrder, InstanceOutcome, JobId, NodeName, QueueName, ServiceName, StepId,
    WorkerEntry, WorkerId,
};
use serde_json::Value;
use tokio::sync::oneshot;

use crate::intake_follower::Intaken;
use crate::peer::{HandInAnswer, JobAnswer, QueueAnswer};
use crate::relay_request::{Report, Reports};

/// What happens to the cell.
#[derive(Debug)]
pub(crate) enum Event {
    /// A front hands a job in.
    HandIn(Handed),
    /// Records of the intake.
    Intake(Intaken),
    /// A read of a partition of the intake for the sake of a question is over.
    IntakeRead(u32),
    /// A worker's entry.
    Worker(WorkerEntry),
    /// A worker is listed no more.
    NoWorker(WorkerId),
    /// Every worker's entry was told.
    Listed,
    /// What became of an order to a worker.
    Report(Report),
    /// What a relay reports.
    Relayed(Reports, oneshot::Sender<bool>),
    /// A node offers to relay orders.
    Offer(Offer, oneshot::Sender<Reply>),
    /// A relay takes no orders any more, and why.
    RelayLost(NodeName, &'static str),
    /// A batch is in the journal.
    Appended(BatchId),
    /// A newer owner writes the journal.
    Deposed,
    /// The platform's list of instances, and when the request for it was sent.
    Instances(Vec<Instance>, Time),
    /// What became of an order to an instance, with the worker on it.
    Ordered(InstanceOrder, Option<WorkerId>, InstanceOutcome),
    /// The policy service's answer.
    Advised(StepId, Option<Vec<(WorkerId, String)>>),
    /// Somebody asks for something.
    Ask(Ask),
}

/// A job that a front hands in.
#[derive(Debug)]
pub(crate) struct Handed {
    /// Its submission.
    pub(crate) record: Bytes,
    /// The front, which keeps what the job runs.
    pub(crate) origin: SocketAddr,
    /// Until then the front waits for the answer.
    pub(crate) until: Time,
    pub(crate) reply: oneshot::Sender<HandInAnswer>,
}

/// What is asked of the owner.
#[derive(Debug)]
pub(crate) enum Ask {
    /// Somebody asks for a job.
    Job(JobId, oneshot::Sender<JobAnswer>),
    /// A front asks for a job before it refuses it.
    Standing(JobId, ServiceName, oneshot::Sender<(Standing, StartDelay)>),
    /// An operator asks for the cell.
    View(oneshot::Sender<Value>),
    /// An operator asks for a job.
    Story(JobId, oneshot::Sender<Option<Value>>),
    /// Somebody asks for a queue.
    Queue(QueueName, oneshot::Sender<QueueAnswer>),
}
