//! Counters of a cell for its owner's metrics.

/// Events counted since the previous [`crate::Cell::take_tallies`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tallies {
    /// Workers that ended unexpectedly while they had runs; workers that were draining or whose
    /// instance was ordered to move away do not count.
    pub workers_ended: u64,
    /// Runs lost with such workers.
    pub runs_lost: u64,
    /// Jobs failed because one of their tasks crashes its workers.
    pub jobs_given_up: u64,
    /// Runs stopped for waiting work with a better rank.
    pub runs_preempted: u64,
    /// Work thrown away by these stops, in milliseconds of a core.
    pub preempted_work: u64,
    /// Short runs stopped because they would have delayed the maintenance of their instance.
    pub runs_vacated: u64,
}
