//! Parameters of holds.

use cactuswheel_model::Millis;
use serde::Deserialize;

/// Upper limit of the configurable times.
const MAX_TIME: Millis = Millis::new(60_000);

/// What the target of a pool is at least during a hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldTarget {
    /// The target for the arrival rates from before the outage.
    #[default]
    Rates,
    /// The highest target of the last second before the outage.
    Frozen,
}

/// Parameters of holds. In settings, the names of times end in `_ms`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HoldPolicy {
    /// Whether pools are held during an outage. Off unless the settings say so, as no gain for
    /// callers is shown.
    pub enabled: bool,
    /// What the target of a pool is at least.
    pub target: HoldTarget,
    /// Time after an outage for which pools are held, until arrivals have been seen for a window.
    /// Refused callers come back within a second or two.
    #[serde(rename = "settle_ms")]
    pub settle: Millis,
    /// Limit of a hold. Callers have given up jobs from before a longer outage, and instances
    /// without work cost their price.
    #[serde(rename = "limit_ms")]
    pub limit: Millis,
}

impl Default for HoldPolicy {
    fn default() -> Self {
        Self {
            enabled: false,
            target: HoldTarget::default(),
            settle: Millis::new(2_000),
            limit: Millis::new(15_000),
        }
    }
}

impl HoldPolicy {
    /// Returns the settings key of the first parameter that is out of range, and the allowed range.
    pub fn validate(&self) -> Option<(&'static str, &'static str)> {
        let times = [("settle_ms", self.settle), ("limit_ms", self.limit)];
        let invalid = times.iter().find(|(_, t)| *t > MAX_TIME);
        invalid.map(|(key, _)| (*key, "has to be a minute at most"))
    }
}
