//! Versions of configured objects.

use std::sync::Arc;

use cactuswheel_model::{DataCentre, Instance, KeyGrant, Pool, Service, Team};
use serde::{Deserialize, Serialize};

/// A configured object as of one offset; shares its memory with the table that it was read from.
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
    /// A key, known only by its digest.
    Key(Arc<KeyGrant>),
    /// An instance.
    Instance(Arc<Instance>),
}
