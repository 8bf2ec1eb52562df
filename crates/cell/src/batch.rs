//! Batches of records that are appended to the journal together.

use cactuswheel_model::Time;
use cactuswheel_work::{JobId, JobState, QueueName, TaskId, WorkerId};

use crate::finished::Finished;

/// Number of a batch, unique within one ownership of the cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchId(pub(crate) u64);

/// Records to append to the journal. Only one batch is in flight at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The batch's number.
    pub number: BatchId,
    /// Encoded submissions of jobs that are accepted with this batch; `None` deletes the
    /// submission.
    pub submissions: Vec<(JobId, Option<Vec<u8>>)>,
    /// The complete encoded state of each changed job; `None` deletes the job.
    pub records: Vec<(JobId, Option<Vec<u8>>)>,
    /// Silent workers, each with the time on this node's clock at which its last lease is over;
    /// `None` deletes the record.
    pub silences: Vec<(WorkerId, Option<Time>)>,
    /// Attempts that queues allow; `None` deletes the record.
    pub queues: Vec<(QueueName, Option<u32>)>,
}

/// Effects that take place once a batch is in the journal.
#[derive(Debug, Default)]
pub(crate) struct BatchEffects {
    /// Jobs whose acceptance may be reported.
    pub(crate) accepted: Vec<JobId>,
    /// Runs for which start orders may be sent.
    pub(crate) starts: Vec<PlannedStart>,
    /// Final states that may be reported to callers.
    pub(crate) states: Vec<(JobId, JobState)>,
    /// Finished jobs without any remaining runs.
    pub(crate) finished: Vec<(JobId, Finished)>,
    /// End records that may be acknowledged: the worker, the start time of its incarnation and the
    /// highest number of an end record.
    pub(crate) ends: Vec<(WorkerId, u64, u64)>,
    /// Workers whose records of silence are removed.
    pub(crate) answering: Vec<WorkerId>,
}

/// A planned run whose start order waits for the journal.
#[derive(Debug, Clone)]
pub(crate) struct PlannedStart {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    pub(crate) worker: WorkerId,
}
