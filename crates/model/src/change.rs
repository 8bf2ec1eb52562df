//! What a ticket changes.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    DataCentre, DcId, Digest, Instance, InstanceId, KeyGrant, Pool, PoolId, Service, ServiceId,
    Team, TeamId,
};

/// The whole new state of one object, or its removal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Sets a data centre.
    Dc(DataCentre),
    /// Sets a pool.
    Pool(Pool),
    /// Sets a service.
    Service(Service),
    /// Sets a team.
    Team(Team),
    /// Sets a key.
    Key(KeyGrant),
    /// Sets an instance.
    Instance(Instance),
    /// Removes an object.
    Remove(ObjectId),
}

/// Names one object of any kind.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectId {
    /// A data centre.
    Dc(DcId),
    /// A pool.
    Pool(PoolId),
    /// A service.
    Service(ServiceId),
    /// A team.
    Team(TeamId),
    /// A key, by its digest.
    Key(Digest),
    /// An instance.
    Instance(InstanceId),
}

impl Change {
    /// The object that this change touches.
    pub fn object(&self) -> ObjectId {
        match self {
            Self::Dc(x) => ObjectId::Dc(x.id.clone()),
            Self::Pool(x) => ObjectId::Pool(x.id.clone()),
            Self::Service(x) => ObjectId::Service(x.id.clone()),
            Self::Team(x) => ObjectId::Team(x.id.clone()),
            Self::Key(x) => ObjectId::Key(x.digest),
            Self::Instance(x) => ObjectId::Instance(x.id.clone()),
            Self::Remove(id) => id.clone(),
        }
    }
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Dc(id) => write!(f, "dc {id}"),
            Self::Pool(id) => write!(f, "pool {id}"),
            Self::Service(id) => write!(f, "service {id}"),
            Self::Team(id) => write!(f, "team {id}"),
            Self::Key(digest) => write!(f, "key {digest}"),
            Self::Instance(id) => write!(f, "instance {id}"),
        }
    }
}
