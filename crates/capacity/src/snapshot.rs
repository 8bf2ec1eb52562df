//! Input of a planning cycle.

use cactuswheel_cell::{Load, WorkerView};
use cactuswheel_model::{Map, Set, Time};
use cactuswheel_work::{Instance, InstanceName, ServiceName, Wave, WorkerId, ZoneName};

/// State of the cell and the platform at one moment, from which a plan is made.
#[derive(Debug)]
pub struct Snapshot<'a> {
    /// Time of the snapshot.
    pub now: Time,
    /// Demand for each service.
    pub loads: &'a Map<ServiceName, Load>,
    /// Workers that the cell knows.
    pub workers: &'a Map<WorkerId, WorkerView>,
    /// Instances as listed by the platform.
    pub instances: &'a [Instance],
    /// When the request for that list was sent.
    pub listed: Time,
    /// Maintenance waves that the operators requested.
    pub waves: &'a [Wave],
    /// Services whose instances are powered off and cost nothing. Unused instances move to the
    /// first one.
    pub spare: &'a [ServiceName],
    /// Instances that an earlier owner ordered recently, with the wave if the order was for
    /// maintenance. They get no orders yet.
    pub reserved: &'a Map<InstanceName, Option<u64>>,
    /// Data centres that are being evacuated; no work starts there.
    pub evacuated: &'a Set<ZoneName>,
}
