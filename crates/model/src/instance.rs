//! Instances.

use serde::{Deserialize, Serialize};

use crate::{Cores, DcId, InstanceId, Mebibytes, PoolId, RackId, Slots};

/// An instance of the supplier's stock: where it landed, what it has, what it serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Its name.
    pub id: InstanceId,
    /// The one pool it belongs to.
    pub pool: PoolId,
    /// Its data centre.
    pub dc: DcId,
    /// Its rack, a failure domain within the data centre.
    pub rack: RackId,
    /// Processor cores.
    pub cores: Cores,
    /// Memory.
    pub memory: Mebibytes,
    /// Accelerators.
    #[serde(default)]
    pub accels: u32,
    /// Requests that it runs at once as an upstream.
    pub slots: Slots,
    /// Connections that it accepts, from all entries together.
    pub conns: u32,
}
