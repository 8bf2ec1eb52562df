//! A worker's entry in the platform's list.

use std::net::SocketAddr;

use crate::{Room, ServiceName, WorkerId, ZoneName};

/// Whether a worker takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It takes work.
    Ready,
    /// It leaves; what runs there ends with it.
    Draining,
}

/// What a worker says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Its identifier.
    pub id: WorkerId,
    /// Service whose pool it is in.
    pub service: ServiceName,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// Its data centre.
    pub zone: ZoneName,
    /// Whether it takes work.
    pub presence: Presence,
    /// Start of this life, in milliseconds since 1970; 0 if it does not say.
    pub born: u64,
    /// What it has.
    pub room: Room,
    /// Its kind and its rack, in this order.
    pub labels: Vec<String>,
}

impl WorkerEntry {
    /// Its rack, if it names one.
    pub fn rack(&self) -> Option<&str> {
        // The kind comes first; an instance with one label names no rack.
        self.labels.get(1).map(String::as_str)
    }
}
