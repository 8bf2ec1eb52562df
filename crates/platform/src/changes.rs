//! Incremental updates of the roster.

use cactuswheel_model::InstanceId;
use serde::{Deserialize, Serialize};

use crate::{RosterEntry, RosterSnapshot};

/// The changes of the roster since a version, or the whole roster.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterChanges {
    /// The version after these changes; empty before the first response.
    pub version: String,
    /// Whether `listed` is the whole roster.
    pub whole: bool,
    /// Instances that are new or whose roster entry changed.
    pub listed: Vec<RosterEntry>,
    /// Instances that are no longer in the roster.
    pub gone: Vec<InstanceId>,
}

impl RosterChanges {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        !self.whole && self.listed.is_empty() && self.gone.is_empty()
    }

    /// The roster after these changes, sorted by instance ID.
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
