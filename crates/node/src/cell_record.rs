//! Journal records of a cell that belong to no job.

use cactuswheel_capacity::LastOwner;
use cactuswheel_model::Time;
use cactuswheel_work::{QueueName, WorkerId};
use serde::{Deserialize, Serialize};

/// Prefix of the keys of [`SilenceRecord`]s, followed by the worker.
const SILENT: &str = "silent/";

/// Prefix of the keys of the attempts that queues allow, followed by the queue.
const QUEUE: &str = "queue/";

/// Key of a record that belongs to no job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellKey {
    /// The silence of a worker.
    Silent(WorkerId),
    /// The attempts that a queue allows.
    Queue(QueueName),
}

impl CellKey {
    /// Parses a key of the journal; `None` for the key of a job.
    pub fn parse(key: &str) -> Option<Self> {
        if let Some(worker) = key.strip_prefix(SILENT) {
            return Some(Self::Silent(worker.into()));
        }
        key.strip_prefix(QUEUE).map(|q| Self::Queue(q.into()))
    }
}

impl std::fmt::Display for CellKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Silent(worker) => write!(f, "{SILENT}{worker}"),
            Self::Queue(queue) => write!(f, "{QUEUE}{queue}"),
        }
    }
}

/// Record that a worker does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilenceRecord {
    /// Epoch of the owner that wrote the record.
    pub epoch: u64,
    /// Incarnation of that owner's node.
    pub life: u64,
    /// When the worker's last lease is over, on the monotonic clock of that node.
    pub lease_end: Time,
}

impl SilenceRecord {
    /// When the worker's last lease is over at the latest, on the clock of the node that owns the
    /// cell under `epoch` after `last`.
    ///
    /// `None` unless the record is of the owner immediately before. Only that owner's clock is known,
    /// and an owner between the two may have renewed the lease if it did not know such records.
    pub fn local_end(&self, epoch: u64, last: Option<LastOwner>) -> Option<Time> {
        let last = last.filter(|l| l.life == self.life && self.epoch + 1 == epoch)?;
        Some(last.local_time(self.lease_end))
    }
}
