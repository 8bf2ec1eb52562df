//! Services that callers address.

use serde::{Deserialize, Serialize};

use crate::{PoolId, ServiceId, Slots};

/// A service and its availability budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name, the first segment of a caller's path.
    pub id: ServiceId,
    /// The pool whose instances serve it.
    pub pool: PoolId,
    /// Disruption budget: most instances of the pool that may be unavailable at once.
    ///
    /// Invariant: smaller than the pool's size whenever the pool has instances.
    pub max_down: u32,
    /// Slots of work expected at peak; the pool has to hold them after losing any one rack.
    #[serde(default)]
    pub demand: Slots,
}
