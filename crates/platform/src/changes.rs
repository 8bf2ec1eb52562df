//! What changed in the roster.

use cactuswheel_model::InstanceId;
use serde::{Deserialize, Serialize};

use crate::{RosterEntry, RosterSnapshot};

/// Changes since a version of the list, or all of it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterChanges {
    /// The version after these changes; empty before the first answer.
    pub version: String,
    /// Whether `listed` is the whole list.
    pub whole: bool,
    /// Instances that are new or listed otherwise than before.
    pub listed: Vec<RosterEntry>,
    /// Instances that are no longer listed.
    pub gone: Vec<InstanceId>,
}

impl RosterChanges {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        !self.whole && self.listed.is_empty() && self.gone.is_empty()
    }

    /// The list after these changes, sorted by name.
    pub fn apply(&self, old: &RosterSnapshot) -> RosterSnapshot {
        let changed = |id: &InstanceId| {
            self.gone.contains(id) || self.listed.iter().any(|seen| seen.id == *id)
        };
        let kept = old
            .instances
            .iter()
            .filter(|s| !self.whole && !changed(&s.id));
        let mut instances: Vec<_> = kept.chain(&self.listed).cloned().collect();
        instances.sort_by(|a, b| a.id.cmp(&b.id));
        RosterSnapshot { instances }
    }
}
