//! What the roster says of an instance.

use std::net::SocketAddr;

use cactuswheel_model::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// Whether an instance is to get work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// It serves.
    Live,
    /// It finishes what it has.
    Leaving,
}

/// One instance, as the platform saw it some time ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// Its name.
    pub id: InstanceId,
    /// Which of its lives.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Whether it is to get work.
    pub presence: Presence,
}

/// The whole list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterSnapshot {
    /// The instances listed.
    pub instances: Vec<RosterEntry>,
}
