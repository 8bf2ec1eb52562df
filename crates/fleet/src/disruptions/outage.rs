//! An outage of one instance.

use cactuswheel_model::{Incarnation, InstanceId, Offset, Purpose, WaveNo};
use serde::{Deserialize, Serialize};

/// Why an instance is unavailable, and since which record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outage {
    /// The instance.
    pub instance: InstanceId,
    /// Fencing token: the offset of the record that began the outage. Every later step names it.
    pub fence: Offset,
    /// The incarnation of the instance when the outage began.
    pub incarnation: Incarnation,
    /// The current stage.
    pub stage: Stage,
}

/// The stages of an outage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Granted: the instance finishes its work and gets no new work. Nothing irrevocable has
    /// happened.
    Draining(Purpose),
    /// Committed: the reboot may happen at any moment, may be in progress, or may be over.
    Rebooting(WaveNo),
    /// Moved to its new pool and not yet seen healthy there.
    Arriving,
    /// Lost without a planned outage.
    Lost,
}

impl Outage {
    /// Whether the outage counts against the budget of the instance's pool.
    ///
    /// An arriving instance does not count: it has not served its new pool yet, so its absence
    /// leaves that pool as available as it was before.
    pub fn uses_budget(&self) -> bool {
        self.stage != Stage::Arriving
    }
}
