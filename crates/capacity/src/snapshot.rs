//! What a plan is made from.

use cactuswheel_cell::{Load, WorkerView};
use cactuswheel_model::{Map, Set, Time};
use cactuswheel_work::{Instance, InstanceName, ServiceName, Wave, WorkerId, ZoneName};

/// What a plan is made from, as of one moment.
#[derive(Debug)]
pub struct Snapshot<'a> {
    /// The moment.
    pub now: Time,
    /// What each service has to do.
    pub loads: &'a Map<ServiceName, Load>,
    /// The workers that the cell knows.
    pub workers: &'a Map<WorkerId, WorkerView>,
    /// The platform's list of instances.
    pub instances: &'a [Instance],
    /// When the request for that list was sent.
    pub listed: Time,
    /// Waves that the operators ask for.
    pub waves: &'a [Wave],
    /// Services whose instances are off and cost nothing.
    pub spare: &'a [ServiceName],
    /// Instances that an earlier owner ordered of late, with the wave if it was for one: they get
    /// no orders yet.
    pub reserved: &'a Map<InstanceName, Option<u64>>,
    /// Data centres that are evacuated: no work starts there.
    pub evacuated: &'a Set<ZoneName>,
}
