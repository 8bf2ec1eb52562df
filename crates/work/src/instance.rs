//! An instance of the supplier's stock.

use crate::{InstanceName, Room, ServiceName, WorkerId, ZoneName};

/// What an instance is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// A worker runs on it, or could.
    Up,
    /// On its way to another pool.
    Moving,
    /// Under maintenance.
    Maintained,
    /// Not to be had.
    Down,
}

/// An instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Its name.
    pub name: InstanceName,
    /// Service whose pool it is in.
    pub pool: ServiceName,
    /// What it is doing.
    pub state: InstanceState,
    /// Its data centre.
    pub zone: ZoneName,
    /// Its kind and rack.
    pub labels: Vec<String>,
    /// What it has.
    pub room: Room,
    /// The worker on it, if one runs.
    pub worker: Option<WorkerId>,
}
