//! One outage.

use cactuswheel_model::{Incarnation, InstanceId, Offset, Purpose, WaveNo};
use serde::{Deserialize, Serialize};

/// Why and since which record an instance is unavailable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outage {
    /// The instance.
    pub instance: InstanceId,
    /// Offset of the record that began it; names it in every later step.
    pub fence: Offset,
    /// The life that it began in.
    pub incarnation: Incarnation,
    /// How far it has come.
    pub stage: Stage,
}

/// Stage of an outage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Granted; it finishes its work and gets none. Nothing irrevocable has happened.
    Draining(Purpose),
    /// The reboot may happen at any moment, has happened, or happens just now.
    Rebooting(WaveNo),
    /// Switched to its new pool and not yet seen healthy there.
    Arriving,
    /// Lost without a plan.
    Lost,
}

impl Outage {
    /// Whether it takes from the budget of the instance's pool.
    ///
    /// An arriving instance takes nothing: it never served its new pool, so its absence
    /// leaves that pool as available as it was before.
    pub fn uses_budget(&self) -> bool {
        self.stage != Stage::Arriving
    }
}
