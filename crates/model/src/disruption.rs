//! Planned and unplanned outages of instances.

use serde::{Deserialize, Serialize};

use crate::{EntryId, Incarnation, InstanceId, Offset, PoolId, WaveNo};

/// A proposed step of an outage of one instance.
///
/// A grant is identified by its fencing token, the offset of the record that created it. Every
/// later step carries this token, so a step of a grant that no longer exists is recognised as
/// stale.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Disruption {
    /// Requests a grant. A granted instance gets no new work and counts against the disruption
    /// budget.
    Take {
        /// The instance.
        instance: InstanceId,
        /// Incarnation of the instance that the grant applies to.
        incarnation: Incarnation,
        /// Action that the grant is requested for.
        purpose: Purpose,
        /// Entry that requests the grant, for the audit trail; any entry may drive the outage.
        holder: EntryId,
    },
    /// The instance is drained. After this record the action may start at any time.
    ///
    /// For a move, this record assigns the instance to the other pool.
    Commit {
        /// The instance.
        instance: InstanceId,
        /// Fencing token of the grant.
        fence: Offset,
    },
    /// Releases a grant that was not committed.
    Cancel {
        /// The instance.
        instance: InstanceId,
        /// Fencing token of the grant.
        fence: Offset,
        /// Whether the reason is that draining timed out because of running work; the outage is
        /// then postponed.
        #[serde(default)]
        busy: bool,
    },
    /// The instance was seen healthy after the outage that `fence` identifies.
    Back {
        /// The instance.
        instance: InstanceId,
        /// Fencing token of the grant, or offset of the record that reported the loss.
        fence: Offset,
        /// Incarnation that was seen healthy.
        incarnation: Incarnation,
    },
    /// The instance failed without a planned outage.
    Lost {
        /// The instance.
        instance: InstanceId,
        /// Newest incarnation that the reporter knows.
        incarnation: Incarnation,
    },
}

/// Action that a grant allows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// A reboot in a maintenance wave.
    Reboot(WaveNo),
    /// A move to another pool.
    Move {
        /// Pool that the instance leaves.
        from: PoolId,
        /// Pool that the instance joins.
        to: PoolId,
    },
}

impl Disruption {
    /// The instance that this step applies to.
    pub fn instance(&self) -> &InstanceId {
        match self {
            Self::Take { instance, .. }
            | Self::Commit { instance, .. }
            | Self::Cancel { instance, .. }
            | Self::Back { instance, .. }
            | Self::Lost { instance, .. } => instance,
        }
    }
}
