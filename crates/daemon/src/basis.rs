//! What routes are built from, beside the instances' presence.

use std::sync::Arc;

use cactuswheel_fleet::{Config, Table};
use cactuswheel_model::{DataCentre, DcId, Instance, InstanceId, Set};

/// The parts of the state that routes depend on; cheap to take and to compare.
#[derive(Debug)]
pub(crate) struct Basis {
    pub(crate) instances: Table<InstanceId, Instance>,
    pub(crate) dcs: Table<DcId, DataCentre>,
    pub(crate) drained: Arc<Set<InstanceId>>,
}

impl Basis {
    /// Takes the parts.
    pub(crate) fn new(config: &Config, drained: Arc<Set<InstanceId>>) -> Self {
        Self {
            instances: config.instances.clone(),
            dcs: config.dcs.clone(),
            drained,
        }
    }

    /// Whether routes built from either are the same.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.instances.ptr_eq(&other.instances)
            && self.dcs.ptr_eq(&other.dcs)
            && self.drained == other.drained
    }
}
