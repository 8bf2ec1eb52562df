//! Where a worker is.

use cactuswheel_work::{WorkerEntry, ZoneName};

/// Where a worker is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Site {
    /// Its data centre.
    pub zone: ZoneName,
    /// Its rack, if it names one.
    pub rack: Option<String>,
}

impl Site {
    /// Of a worker by its entry in the platform's list.
    pub fn of(entry: &WorkerEntry) -> Self {
        Self {
            zone: entry.zone.clone(),
            rack: entry.rack().map(str::to_owned),
        }
    }
}
