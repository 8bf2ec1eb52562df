//! Location of a worker.

use cactuswheel_work::{WorkerEntry, ZoneName};

/// Location of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Site {
    /// Data centre.
    pub zone: ZoneName,
    /// Rack; `None` if the worker's entry names none.
    pub rack: Option<String>,
}

impl Site {
    /// The location of a worker according to its entry in the platform's roster.
    pub fn of(entry: &WorkerEntry) -> Self {
        Self {
            zone: entry.zone.clone(),
            rack: entry.rack().map(str::to_owned),
        }
    }
}
