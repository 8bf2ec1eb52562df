//! The end of a worker under a run, as it counts against the run's task.

use serde::{Deserialize, Serialize};

/// Crashes of workers under a task, whatever else ran there, after which its job is given up.
const MAX_CRASHES: usize = 5;

/// Proven crashes right after a start after which it is given up, if nothing else can have caused the last.
const MAX_FRESH_CRASHES: usize = 3;

/// The end of a worker under a run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Number of the run.
    pub(crate) run: u32,
    /// The worker ended so soon after the start that the run may have caused it. Not any more once a
    /// later run has outlived that time.
    pub(crate) fresh: bool,
    /// Another life of the worker was met. Else it may be cut off, and still at work.
    pub(crate) proven: bool,
    /// No other run there may have caused it.
    ///
    /// Invariant: then it is fresh and proven.
    pub(crate) alone: bool,
    /// Another run there had started so shortly before that it may have caused it.
    ///
    /// Invariant: then this one was not alone.
    pub(crate) explained: bool,
}

/// Whether a task with these crashes, oldest first, is to blame for them.
///
/// A crash strikes every run on the worker, so one says little. Tasks that may have caused one start
/// again apart from other starts; the one that takes a worker down there as well is to blame.
///
/// Failure: for half a minute neighbours of lasting work crash its workers, and it is given up for
/// them, with all that it has done. What a fresh start explains does not count against it.
pub(crate) fn is_to_blame(crashes: &[Crash], lasting: bool) -> bool {
    let fresh = crashes.iter().filter(|c| c.proven && c.fresh).count();
    let alone = crashes.last().is_some_and(|c| c.alone);
    let counted = crashes.iter().filter(|c| !(lasting && c.explained));
    (alone && fresh >= MAX_FRESH_CRASHES) || counted.count() >= MAX_CRASHES
}
