//! What a cell counts, for its owner's metrics.

/// What a cell has counted since it was last asked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tallies {
    /// Workers whose life ended with runs on it, and no order of ours had ended it.
    pub workers_ended: u64,
    /// Runs that were lost with such a worker.
    pub runs_lost: u64,
    /// Jobs that were given up since a task of theirs takes its workers down.
    pub jobs_given_up: u64,
}
