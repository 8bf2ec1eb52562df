//! Settings of the driver.

use std::time::Duration;

use serde::Deserialize;

/// Times and bounds of maintenance. Times are in milliseconds in a settings file,
/// under names that end in `_ms`.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Absence after which an instance counts as lost; longer than the roster lags.
    #[serde(rename = "loss_ms", with = "millis")]
    pub loss_timeout: Duration,
    /// Time for which an instance has to look healthy to be back.
    #[serde(rename = "settle_ms", with = "millis")]
    pub settle_time: Duration,
    /// Time without running work after which a drain is done.
    #[serde(rename = "quiet_ms", with = "millis")]
    pub idle_time: Duration,
    /// Longest drain; with work still running after it the instance is postponed.
    #[serde(rename = "drain_ms", with = "millis")]
    pub drain_timeout: Duration,
    /// Time until a postponed instance is tried again.
    #[serde(rename = "postpone_ms", with = "millis")]
    pub postpone_time: Duration,
    /// Time after which an instance that is not back is reported.
    #[serde(rename = "overdue_ms", with = "millis")]
    pub overdue_timeout: Duration,
    /// Age of the newest word from the platform beyond which nothing starts.
    #[serde(rename = "fresh_ms", with = "millis")]
    pub max_staleness: Duration,
    /// Time after which a step that shows no effect is asked for again.
    #[serde(rename = "retry_ms", with = "millis")]
    pub retry_interval: Duration,
    /// Head start of each entry over the next in rank.
    #[serde(rename = "stagger_ms", with = "millis")]
    pub stagger: Duration,
    /// Time between the starts of two waves.
    #[serde(rename = "cycle_ms", with = "millis")]
    pub wave_interval: Duration,
    /// Most planned outages at once, over all pools; by default budgets alone bound them.
    pub parallel: usize,
    /// Losses at once, in instances per thousand, from which on a wave waits; at least 4.
    #[serde(rename = "burst")]
    pub loss_permille: usize,
    /// Overdue instances at once from which on a wave waits.
    #[serde(rename = "failures")]
    pub overdue_limit: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            loss_timeout: Duration::from_secs(10),
            settle_time: Duration::from_secs(2),
            idle_time: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(900),
            postpone_time: Duration::from_secs(3_600),
            overdue_timeout: Duration::from_secs(900),
            max_staleness: Duration::from_secs(15),
            retry_interval: Duration::from_secs(5),
            stagger: Duration::from_secs(2),
            wave_interval: Duration::from_secs(28 * 24 * 3_600),
            parallel: 10_000,
            loss_permille: 10,
            overdue_limit: 4,
        }
    }
}

mod millis {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer};

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Duration, D::Error> {
        u64::deserialize(input).map(Duration::from_millis)
    }
}
