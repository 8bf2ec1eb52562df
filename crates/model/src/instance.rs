//! Instances of the fleet.

use serde::{Deserialize, Serialize};

use crate::{Cores, DcId, InstanceId, Mebibytes, PoolId, RackId, Slots};

/// An instance from the infrastructure supplier: its location, resources and pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name of the instance.
    pub id: InstanceId,
    /// Pool that the instance belongs to; always exactly one.
    pub pool: PoolId,
    /// Data centre of the instance.
    pub dc: DcId,
    /// Rack of the instance, a failure domain within the data centre.
    pub rack: RackId,
    /// Number of processor cores.
    pub cores: Cores,
    /// Memory, in MiB.
    pub memory: Mebibytes,
    /// Number of accelerators.
    #[serde(default)]
    pub accels: u32,
    /// Maximum number of requests that the instance runs at once as an upstream.
    pub slots: Slots,
    /// Maximum number of connections that the instance accepts from all entries together.
    pub conns: u32,
}
