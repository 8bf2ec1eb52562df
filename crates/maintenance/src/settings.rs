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
    pub loss: Duration,
    /// Time for which an instance has to look healthy to be back.
    #[serde(rename = "settle_ms", with = "millis")]
    pub settle: Duration,
    /// Time without running work after which a drain is done.
    #[serde(rename = "quiet_ms", with = "millis")]
    pub quiet: Duration,
    /// Longest drain; with work still running after it the instance is postponed.
    #[serde(rename = "drain_ms", with = "millis")]
    pub drain: Duration,
    /// Time until a postponed instance is tried again.
    #[serde(rename = "postpone_ms", with = "millis")]
    pub postpone: Duration,
    /// Time after which an instance that is not back is reported.
    #[serde(rename = "overdue_ms", with = "millis")]
    pub overdue: Duration,
    /// Age of the newest word from the platform beyond which nothing starts.
    #[serde(rename = "fresh_ms", with = "millis")]
    pub fresh: Duration,
    /// Time after which a step that shows no effect is asked for again.
    #[serde(rename = "retry_ms", with = "millis")]
    pub retry: Duration,
    /// Head start of each entry over the next in rank.
    #[serde(rename = "stagger_ms", with = "millis")]
    pub stagger: Duration,
    /// Time between the starts of two waves.
    #[serde(rename = "cycle_ms", with = "millis")]
    pub cycle: Duration,
    /// Most planned outages at once, over all pools; by default budgets alone bound them.
    pub parallel: usize,
    /// Losses at once, in instances per thousand, from which on a wave waits; at least 4.
    pub burst: usize,
    /// Overdue instances at once from which on a wave waits.
    pub failures: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            loss: Duration::from_secs(10),
            settle: Duration::from_secs(2),
            quiet: Duration::from_secs(2),
            drain: Duration::from_secs(900),
            postpone: Duration::from_secs(3_600),
            overdue: Duration::from_secs(900),
            fresh: Duration::from_secs(15),
            retry: Duration::from_secs(5),
            stagger: Duration::from_secs(2),
            cycle: Duration::from_secs(28 * 24 * 3_600),
            parallel: 10_000,
            burst: 10,
            failures: 4,
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
