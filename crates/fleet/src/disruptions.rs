//! Planned and unplanned outages, and what they leave of each disruption budget.
//!
//! An outage uses the budget from the record that grants it until a record says that the instance
//! was seen healthy again. No timeout releases it: the node that carries it out may be paused
//! between the grant and the action, and act any time later.

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

/// All outages in progress, with the state of maintenance waves and wanted moves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Disruptions {
    /// Outages by instance.
    ///
    /// Invariant: every instance is in the configuration.
    #[serde(rename = "holds")]
    outages: Table<InstanceId, Outage>,
    /// The highest incarnation of each instance seen in a record.
    ///
    /// Invariant: never decreases while the instance is in the configuration.
    #[serde(rename = "lives")]
    incarnations: Table<InstanceId, Incarnation>,
    /// The newest wave.
    wave: Option<Wave>,
    /// The wave in which an instance was last rebooted.
    #[serde(rename = "turns")]
    last_waves: Table<InstanceId, WaveNo>,
    /// The record that last cancelled an outage because the instance was busy; removed when the
    /// instance ends its next outage.
    deferred: Table<InstanceId, Offset>,
    /// Moves that are wanted and not committed yet.
    ///
    /// Invariant: each instance at most once; when the list was set, each instance was in the pool
    /// that it is to leave.
    #[serde(default)]
    #[serde(rename = "wishes")]
    wanted_moves: Vec<WantedMove>,
}

impl Disruptions {
    /// Outages in progress, in order of instance ID.
    pub fn outages(&self) -> impl Iterator<Item = &Outage> {
        self.outages.values().map(|outage| &**outage)
    }

    /// The outage of an instance, if it has one.
    pub fn outage(&self, instance: &InstanceId) -> Option<&Outage> {
        self.outages.get(instance).map(|outage| &**outage)
    }

    /// The highest incarnation of an instance seen in a record; the default if none was.
    pub fn last_incarnation(&self, instance: &InstanceId) -> Incarnation {
        self.incarnations
            .get(instance)
            .map(|n| **n)
            .unwrap_or_default()
    }

    /// Whether an instance must get no new work because of a planned outage.
    ///
    /// Unplanned losses are not included: whether a lost instance can be reached is for the roster
    /// to tell.
    pub fn is_drained(&self, instance: &InstanceId) -> bool {
        self.outage(instance)
            .is_some_and(|outage| outage.stage != Stage::Lost)
    }

    /// All instances that must get no new work because of a planned outage.
    pub fn drained(&self) -> impl Iterator<Item = &InstanceId> {
        let planned = self.outages.iter().filter(|(_, o)| o.stage != Stage::Lost);
        planned.map(|(id, _)| id)
    }

    /// The disruption budget of a pool and its use.
    pub fn budget(&self, pool: &PoolId, config: &Config) -> Budget {
        Budget::of(pool, config, self)
    }

    /// The disruption budgets of all pools that have instances.
    pub fn budgets(&self, config: &Config) -> Map<PoolId, Budget> {
        Budget::all(config, self)
    }

    /// The record that postponed the reboot or move of an instance because it was busy.
    pub fn deferred(&self, instance: &InstanceId) -> Option<Offset> {
        self.deferred.get(instance).map(|offset| **offset)
    }

    /// The newest wave.
    pub fn wave(&self) -> Option<&Wave> {
        self.wave.as_ref()
    }

    /// The wave in which an instance was last rebooted.
    pub fn last_wave(&self, instance: &InstanceId) -> Option<WaveNo> {
        self.last_waves.get(instance).map(|n| **n)
    }
}
