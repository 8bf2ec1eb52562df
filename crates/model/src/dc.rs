//! Data centres.

use serde::{Deserialize, Serialize};

use crate::{DcId, RegionId};

/// A data centre, the unit that a network partition cuts off.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Its name.
    pub id: DcId,
    /// The region it belongs to.
    pub region: RegionId,
}
