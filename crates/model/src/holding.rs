//! Records with which entries claim, report and release units of the teams' limits.

use serde::{Deserialize, Serialize};

use crate::{DcId, LifeId, Offset, TeamId, Timing};

/// A report of one life of an entry about itself or about another life in its data centre.
///
/// No record allots units. The replicated state computes the allotments when it applies the
/// records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Holding {
    /// A new life asks for units; earlier lives of the same entry in this data centre are
    /// revoked.
    Join {
        /// The new life.
        life: LifeId,
        /// Data centre of the life.
        dc: DcId,
        /// Time limits that the life keeps to.
        timing: Timing,
    },
    /// A life reports how many units it wants and how many it uses.
    Usage {
        /// The reporting life.
        life: LifeId,
        /// One row per team, only for teams whose figures changed.
        rows: Vec<Usage>,
    },
    /// A life has no running requests and will start none.
    Leave {
        /// The leaving life.
        life: LifeId,
    },
    /// A peer in the same data centre no longer receives heartbeats of a life.
    Revoke {
        /// The silent life.
        life: LifeId,
        /// The peer that reports it.
        by: LifeId,
    },
    /// A peer in the same data centre confirms that a revoked life has no running requests, as
    /// far as that peer can tell.
    Witness {
        /// The revoked life.
        life: LifeId,
        /// The peer that confirms it.
        by: LifeId,
        /// Offset of the record that started the wait: the peer measured from when it read it.
        since: Offset,
        /// Whether [`Timing::quiet_cut`] has passed since the revocation, which is proof without
        /// the confirmation of any other peer.
        cut: bool,
    },
}

/// Demand and usage of one team at one life of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The team.
    pub team: TeamId,
    /// Units that the team's demand at this entry could use.
    pub want: u32,
    /// Units in use, including those of requests with unknown outcome.
    pub used: u32,
    /// Offset that identifies the allotment in force at the life when it counted.
    pub epoch: Offset,
}
