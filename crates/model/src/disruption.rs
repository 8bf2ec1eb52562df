//! Planned and unplanned outages of instances.

use serde::{Deserialize, Serialize};

use crate::{EntryId, Incarnation, InstanceId, Offset, PoolId, WaveNo};

/// A proposal about one instance's availability.
///
/// A grant is named by its fence, the offset of the record that made it. Every later step
/// names the fence, so a step that belongs to a grant long gone is told apart.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Disruption {
    /// Asks for a grant: the instance gets no new work and occupies the budget.
    Take {
        /// The instance.
        instance: InstanceId,
        /// The life that the grant is for.
        incarnation: Incarnation,
        /// What is to be done with it.
        purpose: Purpose,
        /// Who asks, for the audit trail; any entry may carry the grant out.
        holder: EntryId,
    },
    /// The instance is drained: from here on the action may happen at any moment.
    ///
    /// For a move this record is the switch to the other pool.
    Commit {
        /// The instance.
        instance: InstanceId,
        /// The grant.
        fence: Offset,
    },
    /// Gives back a grant that was not committed.
    Cancel {
        /// The instance.
        instance: InstanceId,
        /// The grant.
        fence: Offset,
        /// Whether since its work ran too long: the instance is then tried again later.
        #[serde(default)]
        busy: bool,
    },
    /// The instance was seen healthy after the outage that `fence` names.
    Back {
        /// The instance.
        instance: InstanceId,
        /// The grant, or the report of the loss.
        fence: Offset,
        /// The life seen healthy.
        incarnation: Incarnation,
    },
    /// The instance is gone, unplanned.
    Lost {
        /// The instance.
        instance: InstanceId,
        /// The newest life that the reporter knows of.
        incarnation: Incarnation,
    },
}

/// What a grant is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// A reboot in a maintenance wave.
    Reboot(WaveNo),
    /// A move to another pool.
    Move {
        /// The pool that it leaves.
        from: PoolId,
        /// The pool that it joins.
        to: PoolId,
    },
}

impl Disruption {
    /// The instance that it is about.
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
