//! Crashes of workers, recorded against the tasks that ran on them.

use serde::{Deserialize, Serialize};

/// Number of crashes, whatever else ran on the workers, after which a task's job is failed.
const MAX_CRASHES: usize = 5;

/// Number of proven fresh crashes after which a task's job is failed if no other run can have
/// caused the last of them.
const MAX_FRESH_CRASHES: usize = 3;

/// A worker's crash during a run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Number of the run.
    pub(crate) run: u32,
    /// The worker crashed so soon after the run's start that the run may have caused it. Cleared
    /// once a later run has survived that time.
    pub(crate) fresh: bool,
    /// The worker was found in a new incarnation. Otherwise it may only be partitioned and still
    /// running.
    pub(crate) proven: bool,
    /// No other run on the worker may have caused the crash.
    ///
    /// Invariant: such a crash is fresh and proven.
    pub(crate) alone: bool,
    /// Another run on the worker had started so recently that it may have caused the crash.
    ///
    /// Invariant: such a crash is not `alone`.
    pub(crate) explained: bool,
}

/// Whether a task with these crashes, oldest first, is to blame for them.
///
/// A crash affects every run on the worker, so a single one is weak evidence. Tasks that may have
/// caused a crash are started again apart from other starts, and a task that then crashes its
/// worker again is to blame.
///
/// Other tasks may crash the workers of a long-running task for half a minute. The long-running
/// task would be failed for these crashes and lose all its work, so crashes that another fresh
/// start explains do not count against it. Neither do crashes after its run was at work: its workers
/// may crash for any cause, and failing the job would stop its healthy tasks against their budget.
/// Such a run clears the task's crashes instead.
pub(crate) fn is_to_blame(crashes: &[Crash], lasting: bool) -> bool {
    let fresh = crashes.iter().filter(|c| c.proven && c.fresh).count();
    let alone = crashes.last().is_some_and(|c| c.alone);
    let counted = crashes.iter().filter(|c| !(lasting && c.explained));
    (alone && fresh >= MAX_FRESH_CRASHES) || counted.count() >= MAX_CRASHES
}
