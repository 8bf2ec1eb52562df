//! Workers as input to the planner.

use cactuswheel_model::{Incarnation, InstanceId, PoolId, Room};

/// A worker that the roster lists as live, with its current incarnation.
#[derive(Debug, Clone)]
pub struct LiveWorker {
    /// The instance that the worker runs on.
    pub id: InstanceId,
    /// Its incarnation, which increases with each reboot.
    pub incarnation: Incarnation,
}

/// A worker that accepts jobs, with its free resources.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The worker and its incarnation.
    pub live_worker: LiveWorker,
    /// The pool that the worker belongs to.
    pub pool: PoolId,
    /// Resources that are not reserved by placed jobs.
    pub free: Room,
    /// All resources of the worker.
    pub total: Room,
    /// Whether the worker is suspected of failing its jobs and gets a single job at a time as a
    /// probe.
    pub probe: bool,
}
