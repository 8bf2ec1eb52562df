//! Parameters of how pools grow and shrink.

use cactuswheel_model::Millis;
use serde::Deserialize;

/// Upper limit of the configurable times.
const MAX_TIME: Millis = Millis::new(60_000);

/// Upper limit of `headroom`, `reserve` and `sigmas`.
const MAX_FACTOR: f64 = 100.0;

/// Lower limit of `headroom`; with a smaller factor a pool never catches up with its demand.
const MIN_HEADROOM: f64 = 0.1;

/// Parameters of how pools grow and shrink. All of them are configurable, so that their effect can
/// be compared without another build. In settings, the names of times end in `_ms`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolPolicy {
    /// Time from an order until the instance's worker accepts work; a pool grows for the demand
    /// expected at that time. A move takes 1.5 s, and the worker is listed and polled a quarter of
    /// a second later.
    #[serde(rename = "arrival_ms")]
    pub lead_time: Millis,
    /// Time for which the peak demand counts before a pool shrinks. Keeping an instance for a
    /// second costs about as much as moving it.
    #[serde(rename = "hold_ms")]
    pub hold_time: Millis,
    /// Instances provided for each instance's worth of work. It exceeds 1 because tasks of up to a
    /// third of an instance leave gaps.
    #[serde(rename = "gaps")]
    pub headroom: f64,
    /// Additional instances beyond that while short tasks arrive.
    pub reserve: f64,
    /// Number of standard deviations by which recent arrivals have to differ from the mean to count
    /// as a change of load. Six windows are compared ten times a second: at two standard
    /// deviations, one of them deviates by chance every second, and a pool of 12 orders 20
    /// instances without need.
    #[serde(rename = "doubt")]
    pub sigmas: f64,
    /// Share of the unused instances that may be on their way to a spare pool at a time.
    #[serde(rename = "leaving")]
    pub release_share: f64,
    /// Share of the fleet that a pool may get for overdue work, the result of which is no longer
    /// useful to its callers.
    #[serde(rename = "overdue")]
    pub overdue_share: f64,
}

impl Default for PoolPolicy {
    fn default() -> Self {
        Self {
            lead_time: Millis::new(1_750),
            hold_time: Millis::new(1_000),
            headroom: 1.1,
            reserve: 0.5,
            sigmas: 3.0,
            release_share: 0.5,
            overdue_share: 1.0 / 32.0,
        }
    }
}

impl PoolPolicy {
    /// Returns the settings key of the first parameter that is out of range, and the allowed range.
    pub fn validate(&self) -> Option<(&'static str, &'static str)> {
        let times = [("arrival_ms", self.lead_time), ("hold_ms", self.hold_time)];
        if let Some((key, _)) = times.iter().find(|(_, t)| *t > MAX_TIME) {
            return Some((key, "has to be a minute at most"));
        }
        if !(MIN_HEADROOM..=MAX_FACTOR).contains(&self.headroom) {
            return Some(("gaps", "has to be from 0.1 to 100"));
        }
        let factors = [("reserve", self.reserve), ("doubt", self.sigmas)];
        let invalid = |x: &f64| !(0.0..=MAX_FACTOR).contains(x);
        if let Some((key, _)) = factors.iter().find(|(_, x)| invalid(x)) {
            return Some((key, "has to be from 0 to 100"));
        }
        let shares = [
            ("leaving", self.release_share),
            ("overdue", self.overdue_share),
        ];
        let invalid = |x: &f64| !(0.0..=1.0).contains(x);
        let share = shares.iter().find(|(_, x)| invalid(x));
        share.map(|(key, _)| (*key, "has to be from 0 to 1"))
    }
}
