//! Entries of workers in the platform's roster.

use std::net::SocketAddr;

use crate::{Room, ServiceName, WorkerId, ZoneName};

/// Whether a worker accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It accepts new work.
    Ready,
    /// It is about to leave, and its runs end with it.
    Draining,
}

/// A worker's entry in the platform's roster, written by the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Its identifier.
    pub id: WorkerId,
    /// The service whose pool it belongs to.
    pub service: ServiceName,
    /// Address at which it accepts orders.
    pub addr: SocketAddr,
    /// Its data centre.
    pub zone: ZoneName,
    /// Whether it accepts new work.
    pub presence: Presence,
    /// Start of this incarnation, in milliseconds since 1970; 0 if the entry does not contain it.
    pub born: u64,
    /// Its resources.
    pub room: Room,
    /// Its kind and its rack, in this order.
    pub labels: Vec<String>,
}

impl WorkerEntry {
    /// Its rack; `None` if the labels do not contain one.
    pub fn rack(&self) -> Option<&str> {
        // The first label is the kind; a worker with only one label has no rack.
        self.labels.get(1).map(String::as_str)
    }
}
