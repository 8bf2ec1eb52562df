//! Outages, planned and not, and what they leave of every disruption budget.
//!
//! A grant occupies the budget from its record until a record tells that the instance was
//! seen back healthy. No time-out frees it: the holder may be paused between the grant and
//! the action, and act after any time.

mod budget;
mod moves;
mod outage;
mod room;
mod steps;
mod tickets;
mod waves;

use cactuswheel_model::{Incarnation, InstanceId, Map, Offset, PoolId, WantedMove, Wave, WaveNo};
use serde::{Deserialize, Serialize};

use crate::{Config, Table};

pub use budget::Budget;
pub use outage::{Outage, Stage};

/// Every outage that is under way.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Disruptions {
    /// Instances that are unavailable or about to be.
    ///
    /// Invariant: every one is in the configuration.
    #[serde(rename = "holds")]
    outages: Table<InstanceId, Outage>,
    /// Newest incarnation that a record told of.
    ///
    /// Invariant: never goes back while the instance is in the configuration.
    #[serde(rename = "lives")]
    incarnations: Table<InstanceId, Incarnation>,
    /// The newest wave.
    wave: Option<Wave>,
    /// The wave in which an instance last had its turn.
    #[serde(rename = "turns")]
    last_waves: Table<InstanceId, WaveNo>,
    /// The record that last gave back a grant because the instance was busy, until it had its
    /// turn.
    deferred: Table<InstanceId, Offset>,
    /// Moves that are wanted and not switched yet.
    ///
    /// Invariant: no instance twice, each in the pool that it is to leave.
    #[serde(default)]
    #[serde(rename = "wishes")]
    wanted_moves: Vec<WantedMove>,
}

impl Disruptions {
    /// Outages under way, in order of the instances' names.
    pub fn outages(&self) -> impl Iterator<Item = &Outage> {
        self.outages.values().map(|outage| &**outage)
    }

    /// The outage of an instance.
    pub fn outage(&self, instance: &InstanceId) -> Option<&Outage> {
        self.outages.get(instance).map(|outage| &**outage)
    }

    /// Newest incarnation of an instance that a record told of.
    pub fn last_incarnation(&self, instance: &InstanceId) -> Incarnation {
        self.incarnations
            .get(instance)
            .map(|n| **n)
            .unwrap_or_default()
    }

    /// Whether an instance is to get no new work because of a planned outage.
    ///
    /// A loss does not count: whether a lost instance can be reached is for the roster to say.
    pub fn is_drained(&self, instance: &InstanceId) -> bool {
        self.outage(instance)
            .is_some_and(|outage| outage.stage != Stage::Lost)
    }

    /// All instances that are to get no new work because of a planned outage.
    pub fn drained(&self) -> impl Iterator<Item = &InstanceId> {
        let planned = self.outages.iter().filter(|(_, h)| h.stage != Stage::Lost);
        planned.map(|(id, _)| id)
    }

    /// What is left of a pool's budget.
    pub fn budget(&self, pool: &PoolId, config: &Config) -> Budget {
        Budget::of(pool, config, self)
    }

    /// What is left of every pool's budget.
    pub fn budgets(&self, config: &Config) -> Map<PoolId, Budget> {
        Budget::all(config, self)
    }

    /// The record that postponed an instance because it was busy.
    pub fn deferred(&self, instance: &InstanceId) -> Option<Offset> {
        self.deferred.get(instance).map(|offset| **offset)
    }

    /// The newest wave.
    pub fn wave(&self) -> Option<&Wave> {
        self.wave.as_ref()
    }

    /// The wave in which an instance last had its turn.
    pub fn last_wave(&self, instance: &InstanceId) -> Option<WaveNo> {
        self.last_waves.get(instance).map(|n| **n)
    }
}
