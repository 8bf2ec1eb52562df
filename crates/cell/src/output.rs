//! What a cell asks its owner to carry out.

use std::net::SocketAddr;

use cactuswheel_work::{
    JobId, PaceOrder, PollOrder, StartOrder, StepId, StopOrder, TaskId, WorkerId,
};

use crate::Batch;

/// What a cell asks its owner to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Append to the journal; repeat until it is certain. Answer: [`crate::Cell::appended`].
    Append(Batch),
    /// The journal holds these submissions.
    Accepted(Vec<JobId>),
    /// Drop what callers handed in for these jobs: the journal says all that is still asked of
    /// them. Nothing depends on it.
    DropSubmissions(Vec<JobId>),
    /// Renew a worker's lease and look at it, in place of any earlier look that is under way.
    /// Answer: [`crate::Cell::looked`].
    Look {
        /// The worker.
        worker: WorkerId,
        /// Where it is.
        addr: SocketAddr,
        /// Number to answer with.
        look: u64,
        /// The order.
        order: PollOrder,
    },
    /// Start a run. Answer: [`crate::Cell::started`].
    Start {
        /// The worker.
        worker: WorkerId,
        /// Where it is.
        addr: SocketAddr,
        /// The order.
        order: StartOrder,
    },
    /// Stop a run. The answer does not matter; looks show what became of it.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// Where it is.
        addr: SocketAddr,
        /// The order.
        order: StopOrder,
    },
    /// Throttle a run. Answer: [`crate::Cell::paced`].
    Pace {
        /// The worker.
        worker: WorkerId,
        /// Where it is.
        addr: SocketAddr,
        /// The order.
        order: PaceOrder,
    },
    /// Ask the policy service. Answer: [`crate::Cell::advised`].
    Ask {
        /// The step.
        step: StepId,
        /// Workers to name.
        workers: Vec<WorkerId>,
    },
    /// A worker obeys a newer owner: give the cell up.
    Deposed {
        /// What was refused, if it was an order about a task.
        task: Option<TaskId>,
        /// The worker.
        worker: WorkerId,
    },
}
