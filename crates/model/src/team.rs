//! Teams.

use serde::{Deserialize, Serialize};

use crate::{Share, Slots, TeamId};

/// A team, its share of a full fleet and its upper limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub id: TeamId,
    /// Weight when the fleet is full.
    pub share: Share,
    /// Most requests and jobs that run at once, over the whole fleet.
    pub limit: Slots,
    /// Part of `limit` that is set aside for jobs; requests have the rest.
    ///
    /// Two parts with a fixed border need no agreement between the log, which counts jobs, and
    /// the entries, which count requests.
    #[serde(default)]
    pub jobs: Slots,
}
