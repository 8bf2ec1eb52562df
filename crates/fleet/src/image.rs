//! Objects as they stood.

use std::sync::Arc;

use cactuswheel_model::{DataCentre, Instance, KeyGrant, Pool, Service, Team};
use serde::{Deserialize, Serialize};

/// One object as it stood at some offset; shares its memory with the table it came from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Image {
    /// A data centre.
    Dc(Arc<DataCentre>),
    /// A pool.
    Pool(Arc<Pool>),
    /// A service.
    Service(Arc<Service>),
    /// A team.
    Team(Arc<Team>),
    /// A key, of which only the digest is known.
    Key(Arc<KeyGrant>),
    /// An instance.
    Instance(Arc<Instance>),
}
