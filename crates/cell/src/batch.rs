//! Records for the journal, appended together.

use cactuswheel_work::{JobId, JobState, TaskId, WorkerId};

use crate::finished::Finished;

/// Numbers a batch within one ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchId(pub(crate) u64);

/// Records for the journal. One batch is under way at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Its number.
    pub number: BatchId,
    /// Submissions of jobs that are accepted with this batch; `None` drops one.
    pub submissions: Vec<(JobId, Option<Vec<u8>>)>,
    /// Each job's state, whole and encoded; `None` forgets the job.
    pub records: Vec<(JobId, Option<Vec<u8>>)>,
}

/// What holds once a batch is in the journal.
#[derive(Debug, Default)]
pub(crate) struct BatchEffects {
    /// Jobs that are accepted.
    pub(crate) accepted: Vec<JobId>,
    /// Runs that may be ordered.
    pub(crate) starts: Vec<PlannedStart>,
    /// States that may be shown.
    pub(crate) states: Vec<(JobId, JobState)>,
    /// Jobs of which nothing is left to do.
    pub(crate) finished: Vec<(JobId, Finished)>,
    /// Ends that may be acknowledged: worker, its life, highest number.
    pub(crate) ends: Vec<(WorkerId, u64, u64)>,
}

/// A run that waits for the journal.
#[derive(Debug, Clone)]
pub(crate) struct PlannedStart {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    pub(crate) worker: WorkerId,
}
