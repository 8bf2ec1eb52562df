//! Data centres.

use serde::{Deserialize, Serialize};

use crate::{DcId, RegionId};

/// A data centre. Network partitions are expected to separate whole data centres.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Name of the data centre.
    pub id: DcId,
    /// Region that the data centre belongs to.
    pub region: RegionId,
}
