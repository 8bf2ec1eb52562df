//! Settings of the maintenance driver.

use std::time::Duration;

use serde::Deserialize;

/// Timeouts and limits of maintenance. A settings file holds durations in milliseconds, under
/// names that end in `_ms`.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time without a live roster entry after which an instance counts as lost; must exceed the
    /// lag of the roster.
    #[serde(rename = "loss_ms", with = "millis")]
    pub loss_timeout: Duration,
    /// Time for which an instance must be live and serving before its outage ends.
    #[serde(rename = "settle_ms", with = "millis")]
    pub settle_time: Duration,
    /// Time without running work after which a drain is complete.
    #[serde(rename = "quiet_ms", with = "millis")]
    pub idle_time: Duration,
    /// Maximum duration of a drain; an instance that still runs work after it is postponed.
    #[serde(rename = "drain_ms", with = "millis")]
    pub drain_timeout: Duration,
    /// Delay before a postponed instance is retried.
    #[serde(rename = "postpone_ms", with = "millis")]
    pub postpone_time: Duration,
    /// Time in the rebooting stage after which an instance is reported as overdue.
    #[serde(rename = "overdue_ms", with = "millis")]
    pub overdue_timeout: Duration,
    /// Maximum age of the platform data; the driver takes no action on older data.
    #[serde(rename = "fresh_ms", with = "millis")]
    pub max_staleness: Duration,
    /// Interval at which a record or order without visible effect is repeated.
    #[serde(rename = "retry_ms", with = "millis")]
    pub retry_interval: Duration,
    /// Delay per rank before an entry acts, so that entries with a lower rank number act first.
    #[serde(rename = "stagger_ms", with = "millis")]
    pub stagger: Duration,
    /// Interval between the starts of two consecutive waves.
    #[serde(rename = "cycle_ms", with = "millis")]
    pub wave_interval: Duration,
    /// Maximum number of concurrent planned outages, over all pools. The default is so high that
    /// only budgets limit them.
    pub parallel: usize,
    /// Number of concurrent losses, per thousand instances, at which a wave stops starting
    /// outages. The resulting limit is never below 4 instances.
    #[serde(rename = "burst")]
    pub loss_permille: usize,
    /// Number of concurrently overdue instances at which a wave stops starting outages.
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
