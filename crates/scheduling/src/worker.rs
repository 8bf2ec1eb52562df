//! Workers as a planner sees them.

use cactuswheel_model::{Incarnation, InstanceId, PoolId, Room};

/// A worker that is seen live, and which of its lives it is in.
#[derive(Debug, Clone)]
pub struct LiveWorker {
    /// The worker.
    pub id: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// A worker that takes jobs, with the room that is free on it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The worker's life.
    pub live_worker: LiveWorker,
    /// Its pool.
    pub pool: PoolId,
    /// What is free.
    pub free: Room,
    /// All that it has.
    pub total: Room,
    /// Whether it takes a single job only, to be tried out.
    pub probe: bool,
}
