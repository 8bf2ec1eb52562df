//! Entries of the roster.

use std::net::SocketAddr;

use cactuswheel_model::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// Whether an instance accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// The instance serves and accepts new work.
    Live,
    /// The instance finishes its current work and gets no new work.
    Leaving,
}

/// The platform's last known status of an instance, which may be stale.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// The ID of the instance.
    pub id: InstanceId,
    /// The incarnation of the instance, which increases with each reboot.
    pub incarnation: Incarnation,
    /// The address that the instance listens on.
    pub addr: SocketAddr,
    /// Whether the instance accepts new work.
    pub presence: Presence,
}

/// The whole roster at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterSnapshot {
    /// The entries of all listed instances.
    pub instances: Vec<RosterEntry>,
}
