//! Records by which entries hold parts of teams' limits.

use serde::{Deserialize, Serialize};

use crate::{DcId, LifeId, Offset, TeamId, Timing};

/// What a life of an entry says about itself or about another one of its data centre.
///
/// No record hands out units: the fold does, from what the records say.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Holding {
    /// A new life asks to hold units; earlier lives of its name are revoked.
    Join {
        /// Who.
        life: LifeId,
        /// Its data centre.
        dc: DcId,
        /// The times that it binds itself to.
        timing: Timing,
    },
    /// What a life wants and what it still uses.
    Usage {
        /// Who.
        life: LifeId,
        /// One row a team, only for teams with news.
        rows: Vec<Usage>,
    },
    /// A life has nothing running and starts nothing more.
    Leave {
        /// Who.
        life: LifeId,
    },
    /// A peer of the same data centre does not hear a life any more.
    Revoke {
        /// Who is not heard.
        life: LifeId,
        /// Who says so.
        by: LifeId,
    },
    /// A peer of the same data centre knows that a revoked life has nothing running.
    Witness {
        /// Who was revoked.
        life: LifeId,
        /// Who says so.
        by: LifeId,
        /// The record from whose reading the time was counted.
        since: Offset,
        /// Whether the time without the log alone proves it, counted from the revocation.
        cut: bool,
    },
}

/// A life's news of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The team.
    pub team: TeamId,
    /// Units that its demand here could use.
    pub want: u32,
    /// Units in use, those of requests with unknown outcome too.
    pub used: u32,
    /// The allotment that the life obeyed when it counted.
    pub epoch: Offset,
}
