//! Changes that a ticket makes to the configured objects.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{
    DataCentre, DcId, Digest, Instance, InstanceId, KeyGrant, Pool, PoolId, Service, ServiceId,
    Team, TeamId,
};

/// The complete new state of one object, or its removal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Creates or replaces a data centre.
    Dc(DataCentre),
    /// Creates or replaces a pool.
    Pool(Pool),
    /// Creates or replaces a service.
    Service(Service),
    /// Creates or replaces a team.
    Team(Team),
    /// Creates or replaces a team's key.
    Key(KeyGrant),
    /// Creates or replaces an instance.
    Instance(Instance),
    /// Removes an object.
    Remove(ObjectId),
}

/// Identifies an object of any kind.
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
    /// A team's key, identified by its digest.
    Key(Digest),
    /// An instance.
    Instance(InstanceId),
}

impl Change {
    /// The object that this change sets or removes.
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

/// Error for a string that is not a valid object path.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{0}` names no object: takes KIND/NAME, KIND one of dc, pool, service, team, key, instance"
)]
pub struct ParseObjectError(String);

impl ObjectId {
    /// Path of the object in the administration API: kind and name, such as `pool/render`.
    pub fn path(&self) -> String {
        self.to_string().replacen(' ', "/", 1)
    }
}

impl FromStr for ObjectId {
    type Err = ParseObjectError;

    fn from_str(s: &str) -> Result<Self, ParseObjectError> {
        let error = || ParseObjectError(s.chars().take(80).collect());
        let (kind, name) = s.split_once('/').ok_or_else(error)?;
        match kind {
            "dc" => name.parse().map(Self::Dc).map_err(|_| error()),
            "pool" => name.parse().map(Self::Pool).map_err(|_| error()),
            "service" => name.parse().map(Self::Service).map_err(|_| error()),
            "team" => name.parse().map(Self::Team).map_err(|_| error()),
            "key" => name.parse().map(Self::Key).map_err(|_| error()),
            "instance" => name.parse().map(Self::Instance).map_err(|_| error()),
            _ => Err(error()),
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
