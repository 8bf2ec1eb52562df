//! Services that callers address.

use serde::{Deserialize, Serialize};

use crate::{PoolId, ServiceId, Slots};

/// A service and its availability budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service, the path segment after `/s/` in a caller's request.
    pub id: ServiceId,
    /// Pool whose instances serve the service.
    pub pool: PoolId,
    /// Disruption budget: maximum number of instances of the pool that may be unavailable at once.
    ///
    /// Invariant: smaller than the pool's size whenever the pool has instances.
    pub max_down: u32,
    /// Slots needed at peak load; the pool must still provide them after losing any one rack.
    #[serde(default)]
    pub demand: Slots,
}
