//! The configuration that operators set by tickets.

use cactuswheel_model::{
    Change, DataCentre, DcId, Digest, Instance, InstanceId, KeyGrant, ObjectId, Pool, PoolId,
    Service, ServiceId, Team, TeamId,
};
use serde::{Deserialize, Serialize};

use crate::{Image, Table};

/// The current objects of every kind.
///
/// Invariant: every reference leads to an object that exists.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Data centres.
    pub dcs: Table<DcId, DataCentre>,
    /// Pools.
    pub pools: Table<PoolId, Pool>,
    /// Services.
    pub services: Table<ServiceId, Service>,
    /// Teams.
    pub teams: Table<TeamId, Team>,
    /// Keys by digest, including withdrawn ones.
    pub keys: Table<Digest, KeyGrant>,
    /// Instances.
    pub instances: Table<InstanceId, Instance>,
}

impl Config {
    /// Applies a change without checking it.
    pub(crate) fn set(&mut self, change: &Change) {
        match change {
            Change::Dc(x) => self.dcs.insert(x.id.clone(), x.clone()),
            Change::Pool(x) => self.pools.insert(x.id.clone(), x.clone()),
            Change::Service(x) => self.services.insert(x.id.clone(), x.clone()),
            Change::Team(x) => self.teams.insert(x.id.clone(), x.clone()),
            Change::Key(x) => self.keys.insert(x.digest, x.clone()),
            Change::Instance(x) => self.instances.insert(x.id.clone(), x.clone()),
            Change::Remove(id) => self.remove(id),
        }
    }

    /// Withdraws a key, if it exists.
    pub(crate) fn withdraw(&mut self, digest: &Digest) {
        if let Some(key) = self.keys.get_mut(digest) {
            key.withdrawn = true;
        }
    }

    /// Whether an object exists.
    pub fn contains(&self, id: &ObjectId) -> bool {
        match id {
            ObjectId::Dc(id) => self.dcs.contains(id),
            ObjectId::Pool(id) => self.pools.contains(id),
            ObjectId::Service(id) => self.services.contains(id),
            ObjectId::Team(id) => self.teams.contains(id),
            ObjectId::Key(digest) => self.keys.contains(digest),
            ObjectId::Instance(id) => self.instances.contains(id),
        }
    }

    /// The current version of an object, if it exists.
    pub fn image(&self, id: &ObjectId) -> Option<Image> {
        match id {
            ObjectId::Dc(id) => self.dcs.get(id).cloned().map(Image::Dc),
            ObjectId::Pool(id) => self.pools.get(id).cloned().map(Image::Pool),
            ObjectId::Service(id) => self.services.get(id).cloned().map(Image::Service),
            ObjectId::Team(id) => self.teams.get(id).cloned().map(Image::Team),
            ObjectId::Key(digest) => self.keys.get(digest).cloned().map(Image::Key),
            ObjectId::Instance(id) => self.instances.get(id).cloned().map(Image::Instance),
        }
    }

    /// Number of instances in a pool.
    pub fn pool_size(&self, pool: &PoolId) -> usize {
        self.instances.values().filter(|i| i.pool == *pool).count()
    }

    fn remove(&mut self, id: &ObjectId) {
        match id {
            ObjectId::Dc(id) => self.dcs.remove(id),
            ObjectId::Pool(id) => self.pools.remove(id),
            ObjectId::Service(id) => self.services.remove(id),
            ObjectId::Team(id) => self.teams.remove(id),
            ObjectId::Key(digest) => self.keys.remove(digest),
            ObjectId::Instance(id) => self.instances.remove(id),
        };
    }
}
