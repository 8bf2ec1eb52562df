//! Whose jobs a caller may see and cancel.

use cactuswheel_work::{FleetConfig, Queue, TeamName};

/// The caller of a request, as far as its key tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// A caller of a public queue that sent no key, or one that the configuration does not hold.
    Anonymous,
    /// The caller sent a key of this team.
    Team(TeamName),
    /// A caller of a public queue whose key cannot be checked, because the configuration is stale.
    Unverified,
}

/// Why a caller is refused on a queue that requires a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The request has no key.
    #[error("the request has no key")]
    Missing,
    /// The configuration does not hold the key.
    #[error("the key is unknown")]
    Unknown,
}

impl Caller {
    /// Identifies the caller of a queue by the key that it sent, if any.
    pub fn identify(
        config: &FleetConfig,
        queue: &Queue,
        key: Option<&str>,
    ) -> Result<Self, KeyError> {
        match (key.and_then(|k| config.keys.get(k)), key) {
            (Some(team), _) => Ok(Self::Team(team.clone())),
            (None, _) if queue.public => Ok(Self::Anonymous),
            (None, Some(_)) => Err(KeyError::Unknown),
            (None, None) => Err(KeyError::Missing),
        }
    }

    /// Whether the caller may see and cancel a job of team `owner`; `None` for a job that was
    /// submitted on a public queue.
    ///
    /// The queue of the request does not matter. Otherwise any caller could read and cancel the
    /// jobs of every team by their ids on the path of a public queue.
    pub fn may_see(&self, owner: Option<&TeamName>) -> bool {
        match (self, owner) {
            (_, None) => true,
            (Self::Team(team), Some(owner)) => team == owner,
            (Self::Anonymous | Self::Unverified, Some(_)) => false,
        }
    }
}
