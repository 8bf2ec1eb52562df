//! Instances that the platform provides.

use crate::{InstanceName, Room, ServiceName, WorkerId, ZoneName};

/// State of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// A worker runs on it or can be started.
    Up,
    /// It is being moved to another pool.
    Moving,
    /// It is under maintenance.
    Maintained,
    /// It is not available.
    Down,
}

/// An instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Its name.
    pub name: InstanceName,
    /// The service whose pool it belongs to.
    pub pool: ServiceName,
    /// Its state.
    pub state: InstanceState,
    /// Its data centre.
    pub zone: ZoneName,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Its resources.
    pub room: Room,
    /// The worker that runs on it, if any.
    pub worker: Option<WorkerId>,
}
