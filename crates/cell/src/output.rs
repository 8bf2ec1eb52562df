//! Requests of a cell to its owner.

use std::net::SocketAddr;

use cactuswheel_work::{
    HoldOrder, JobId, PaceOrder, StartOrder, StepId, StopOrder, TaskId, WorkerId,
};

use crate::Batch;

/// A request of a cell to its owner.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Append a batch to the journal, retrying until the append is confirmed. Answer:
    /// [`crate::Cell::appended`].
    Append(Batch),
    /// The journal holds the submissions of these jobs.
    Accepted(Vec<JobId>),
    /// Drop the submissions of these jobs from the intake: the journal holds everything that
    /// callers may still query. Failure to do so has no effect on correctness.
    DropSubmissions(Vec<JobId>),
    /// Poll a worker and renew its lease, in place of any earlier poll of the worker that is in
    /// flight. Answer: [`crate::Cell::poll_answered`].
    PollWorker {
        /// The worker to poll.
        worker: WorkerId,
        /// Address of the worker.
        addr: SocketAddr,
        /// Number of the poll, to be passed back with the answer.
        poll_number: u64,
        /// The order to send.
        order: HoldOrder,
    },
    /// Start a run. Answer: [`crate::Cell::start_answered`].
    Start {
        /// The worker that runs the task.
        worker: WorkerId,
        /// Address of the worker.
        addr: SocketAddr,
        /// The order to send.
        order: StartOrder,
    },
    /// Stop a run. No answer is expected; later polls show what became of the run.
    Stop {
        /// The worker with the run.
        worker: WorkerId,
        /// Address of the worker.
        addr: SocketAddr,
        /// The order to send.
        order: StopOrder,
    },
    /// Throttle a run. Answer: [`crate::Cell::pace_answered`].
    Pace {
        /// The worker with the run.
        worker: WorkerId,
        /// Address of the worker.
        addr: SocketAddr,
        /// The order to send.
        order: PaceOrder,
    },
    /// Ask the policy service which workers may run a step. Answer: [`crate::Cell::advised`].
    RequestAdvice {
        /// The step to place.
        step: StepId,
        /// Workers to ask about.
        workers: Vec<WorkerId>,
    },
    /// A worker refused an order because it has seen the token of a newer owner: give up the
    /// cell.
    Deposed {
        /// The task that the refused order was about, if any.
        task: Option<TaskId>,
        /// The worker that refused.
        worker: WorkerId,
    },
}
