//! Teams, the customers' workspaces.

use serde::{Deserialize, Serialize};

use crate::{Share, Slots, TeamId};

/// A team, its weight when the fleet is full and its concurrency limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub id: TeamId,
    /// Weight relative to other teams when the fleet is full.
    pub share: Share,
    /// Maximum number of requests and jobs that run at once in the whole fleet.
    pub limit: Slots,
    /// Part of `limit` that is reserved for jobs; requests use the rest.
    ///
    /// With a fixed split, the log, which counts jobs, and the entries, which count requests,
    /// need no coordination.
    #[serde(default)]
    pub jobs: Slots,
}
