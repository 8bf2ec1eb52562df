//! Events that the cell's owner processes.

use std::net::SocketAddr;

use bytes::Bytes;
use cactuswheel_cell::{BatchId, Standing};
use cactuswheel_model::Time;
use cactuswheel_relay::{Offer, RelayTerm, Reply};
use cactuswheel_work::{
    Instance, InstanceOrder, InstanceOutcome, JobId, NodeName, QueueName, ServiceName, StepId,
    TeamName, WorkerEntry, WorkerId,
};
use serde_json::Value;
use tokio::sync::oneshot;

use crate::intake_follower::IntakePage;
use crate::peer::{HandInAnswer, JobAnswer, Prospects, QueueAnswer};
use crate::relay_request::{Report, Reports};

/// An event that the cell's owner processes.
#[derive(Debug)]
pub(crate) enum Event {
    /// A front end hands in a job.
    HandIn(HandInRequest),
    /// Records read from the intake.
    Intake(IntakePage),
    /// A read of this intake partition for a query has finished.
    IntakeReadDone(u32),
    /// A worker's roster entry, new or changed.
    WorkerUpdated(WorkerEntry),
    /// A worker is no longer in the roster.
    WorkerRemoved(WorkerId),
    /// The entry of every worker in the roster has been sent.
    RosterComplete,
    /// Outcome of an order to a worker.
    Report(Report),
    /// Outcomes of orders, reported by a relay.
    RelayReports(Reports, oneshot::Sender<bool>),
    /// A node offers to relay orders.
    Offer(Offer, oneshot::Sender<Reply>),
    /// A relay no longer takes orders: its term at the client that found this, and the reason.
    RelayLost(NodeName, RelayTerm, &'static str),
    /// A batch was written to the journal.
    Appended(BatchId),
    /// A request to drop submissions from the intake has ended: the jobs whose submission was
    /// dropped, and those whose submission may still be there.
    Dropped(Vec<JobId>, Vec<JobId>),
    /// The journal is fenced by a newer owner.
    Deposed,
    /// The platform's list of instances, and when it was requested.
    Instances(Vec<Instance>, Time),
    /// Outcome of an order to an instance, with the worker on it.
    InstanceOrdered(InstanceOrder, Option<WorkerId>, InstanceOutcome),
    /// Answer of the policy service; `None` if it failed.
    PolicyAnswer(StepId, Option<Vec<(WorkerId, String)>>),
    /// A query to the owner.
    Query(Query),
}

/// A job that a front end hands in.
#[derive(Debug)]
pub(crate) struct HandInRequest {
    /// The encoded submission.
    pub(crate) record: Bytes,
    /// Address of the front end, which keeps the job spec.
    pub(crate) origin: SocketAddr,
    /// When the front end stops waiting for the answer.
    pub(crate) until: Time,
    pub(crate) reply: oneshot::Sender<HandInAnswer>,
}

/// A query to the owner.
#[derive(Debug)]
pub(crate) enum Query {
    /// The state of a job.
    Job(JobId, oneshot::Sender<JobAnswer>),
    /// What the owner knows of a job, and the prospects of a new one; a front end asks this before it
    /// refuses the job.
    Standing(
        JobId,
        ServiceName,
        Option<TeamName>,
        oneshot::Sender<(Standing, Prospects)>,
    ),
    /// The state of the cell, for operators.
    CellView(oneshot::Sender<Value>),
    /// The state of a job, for operators.
    JobView(JobId, oneshot::Sender<Option<Value>>),
    /// The number of a queue's jobs that have not started.
    Queue(QueueName, oneshot::Sender<QueueAnswer>),
}
