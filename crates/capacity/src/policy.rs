//! Figures of how pools grow and shrink.

use cactuswheel_model::Millis;
use serde::Deserialize;

/// Longest time ahead that is looked at.
const MAX_TIME: Millis = Millis::new(60_000);

/// Most instances for each that the work fills, most that are held beyond that, and most standard
/// deviations.
const MAX_FACTOR: f64 = 100.0;

/// Least instances for each that the work fills: with fewer a pool never catches up.
const MIN_HEADROOM: f64 = 0.1;

/// Figures of how pools grow and shrink. Each can be set, so that what it is worth can be
/// measured without another build; in settings a time's name ends in `_ms`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolPolicy {
    /// Time from an order to a worker that takes work: a pool grows for what is asked then. A
    /// move takes 1.5 s, and the worker is listed and looked at a quarter later.
    #[serde(rename = "arrival_ms")]
    pub lead_time: Millis,
    /// Time for which the highest need counts before a pool shrinks. Keeping an instance for a
    /// second costs about what moving it costs.
    #[serde(rename = "hold_ms")]
    pub hold_time: Millis,
    /// Instances for each that the work fills: tasks of up to a third of one leave gaps.
    #[serde(rename = "gaps")]
    pub headroom: f64,
    /// Instances beyond that while short work comes in.
    pub reserve: f64,
    /// Standard deviations by which arrivals of late have to differ from the mean before they
    /// are taken for a change. Six windows are compared ten times a second: at two, one of them
    /// is off by chance every second, and a pool of 12 orders 20 instances for nothing.
    #[serde(rename = "doubt")]
    pub sigmas: f64,
    /// Part of what no pool uses that may be on its way to being off at a time.
    #[serde(rename = "leaving")]
    pub release_share: f64,
    /// Part of the fleet that a pool gets for work of no use any more.
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
    /// The first figure that is out of its range, and what is wrong with it.
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
