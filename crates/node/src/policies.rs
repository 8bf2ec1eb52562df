//! Figures and switches of the node's decisions.

use cactuswheel_capacity::PoolPolicy;
use cactuswheel_cell::WorkPolicy;
use cactuswheel_model::Millis;
use serde::Deserialize;

use crate::settings::from_millis;

/// Most instances for each that the work fills, and most that are held beyond that.
const MAX_SPARE: f64 = 100.0;

/// Longest time ahead that is looked at, in milliseconds.
const MAX_AHEAD: u64 = 60_000;

/// Figures and switches of the node's decisions; all have defaults.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policies {
    /// How pools grow and shrink.
    pub pools: Pools,
    /// How jobs are ordered and placed.
    pub work: Work,
}

/// How jobs are ordered and placed; [`WorkPolicy`] says what each switch does.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Work {
    /// Short work goes to the fullest worker that has room.
    pub pack: bool,
    /// A job's tasks stay in one data centre and rack.
    pub home: bool,
    /// Jobs that have begun go first.
    pub begun: bool,
    /// Jobs beyond their team's share wait while the fleet is full.
    pub shares: bool,
    /// Runs that make no progress start elsewhere.
    pub progress: bool,
    /// Workers that fail what they start get no work for a while.
    pub health: bool,
    /// Run times are learnt.
    pub learn: bool,
}

impl Default for Work {
    fn default() -> Self {
        let policy = WorkPolicy::default();
        Self {
            pack: policy.pack,
            home: policy.home,
            begun: policy.begun,
            shares: policy.shares,
            progress: policy.progress,
            health: policy.health,
            learn: policy.learn,
        }
    }
}

impl Work {
    pub(crate) fn policy(&self) -> WorkPolicy {
        WorkPolicy {
            pack: self.pack,
            home: self.home,
            begun: self.begun,
            shares: self.shares,
            progress: self.progress,
            health: self.health,
            learn: self.learn,
        }
    }
}

/// How pools grow and shrink; [`PoolPolicy`] says what each figure does.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pools {
    /// Time from an order to a worker that takes work.
    #[serde(rename = "arrival_ms", deserialize_with = "from_millis")]
    pub arrival: Millis,
    /// Time ahead for which a pool keeps what it will need.
    #[serde(rename = "keep_ms", deserialize_with = "from_millis")]
    pub keep: Millis,
    /// Time for which the highest need counts.
    #[serde(rename = "hold_ms", deserialize_with = "from_millis")]
    pub hold: Millis,
    /// Instances for each that the work fills; 1 or more.
    pub gaps: f64,
    /// Instances beyond that while short work comes in.
    pub reserve: f64,
    /// Standard deviations that chance may explain.
    pub doubt: f64,
    /// Whether busy instances are emptied to be lent to pools that lack some.
    pub lend: bool,
    /// Part of what no pool uses that may leave at a time, from 0 to 1.
    pub leaving: f64,
    /// Part of the fleet that a pool gets for work of no use any more, from 0 to 1.
    pub overdue: f64,
}

impl Default for Pools {
    fn default() -> Self {
        let policy = PoolPolicy::default();
        Self {
            arrival: policy.arrival.into(),
            keep: policy.keep.into(),
            hold: policy.hold.into(),
            gaps: policy.gaps,
            reserve: policy.reserve,
            doubt: policy.doubt,
            lend: policy.lend,
            leaving: policy.leaving,
            overdue: policy.overdue,
        }
    }
}

impl Pools {
    pub(crate) fn policy(&self) -> PoolPolicy {
        PoolPolicy {
            arrival: self.arrival.duration(),
            keep: self.keep.duration(),
            hold: self.hold.duration(),
            gaps: self.gaps,
            reserve: self.reserve,
            doubt: self.doubt,
            lend: self.lend,
            leaving: self.leaving,
            overdue: self.overdue,
        }
    }

    /// The first figure that is out of its range, and what is wrong with it.
    pub(crate) fn fault(&self) -> Option<(&'static str, &'static str)> {
        let times = [
            ("policies.pools.arrival_ms", self.arrival),
            ("policies.pools.keep_ms", self.keep),
            ("policies.pools.hold_ms", self.hold),
        ];
        if let Some((place, _)) = times.iter().find(|(_, t)| t.get() > MAX_AHEAD) {
            return Some((place, "has to be a minute at most"));
        }
        if !(0.1..=MAX_SPARE).contains(&self.gaps) {
            return Some(("policies.pools.gaps", "has to be from 0.1 to 100"));
        }
        let spare = [
            ("policies.pools.reserve", self.reserve),
            ("policies.pools.doubt", self.doubt),
        ];
        let wrong = |x: &f64| !(0.0..=MAX_SPARE).contains(x);
        if let Some((place, _)) = spare.iter().find(|(_, x)| wrong(x)) {
            return Some((place, "has to be from 0 to 100"));
        }
        let parts = [
            ("policies.pools.leaving", self.leaving),
            ("policies.pools.overdue", self.overdue),
        ];
        let wrong = |x: &f64| !(0.0..=1.0).contains(x);
        let part = parts.iter().find(|(_, x)| wrong(x));
        part.map(|(place, _)| (*place, "has to be from 0 to 1"))
    }
}
