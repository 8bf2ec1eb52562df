//! Topics in the platform's store. Each partition belongs to one cell.

use cactuswheel_adapter::Partition;
use cactuswheel_work::JobId;

/// A partition of the intake: the submissions and cancels that front ends accepted, keyed by job.
/// Records never change, so any front end may write at any time without knowing the cell's owner.
pub(crate) const fn intake(part: u32) -> Partition {
    Partition {
        topic: "keyed.intake",
        part,
    }
}

/// Number of the intake partition of a job's records, of `parts` partitions.
///
/// The store processes one append per partition at a time. With a single partition and a slow
/// store, the appends of all front ends would queue behind each other for longer than callers wait.
/// Partitioning by job avoids this and still keeps a job's cancel after its submission.
pub(crate) fn intake_part(id: JobId, parts: u32) -> u32 {
    (id.get() % u64::from(parts)) as u32
}

/// The owner's journal: the state of each job. Only the newest owner can write, as its epoch fences
/// earlier owners.
pub(crate) const JOURNAL: Partition = Partition {
    topic: "keyed.journal",
    part: 0,
};

/// The record of who owns the cell.
pub(crate) const OWNER: Partition = Partition {
    topic: "keyed.owner",
    part: 0,
};

/// Instances whose maintenance is done, keyed by `WAVE/INSTANCE`.
pub(crate) const MAINTAINED: Partition = Partition {
    topic: "keyed.maintained",
    part: 0,
};

/// When each maintenance wave began, in milliseconds since 1970, keyed by its number.
pub(crate) const WAVES: Partition = Partition {
    topic: "keyed.waves",
    part: 0,
};

/// A partition of the last order to each instance: which owner gave it, and when. An instance's
/// record may be in any partition.
pub(crate) const fn orders(part: u32) -> Partition {
    Partition {
        topic: "keyed.orders",
        part,
    }
}

/// The operators' records: the configuration, maintenance waves and evacuations.
pub(crate) const OPERATORS: Partition = Partition {
    topic: cactuswheel_adapter::OPERATOR_TOPIC,
    part: 0,
};

/// The roster of workers.
pub(crate) const WORKERS: Partition = Partition {
    topic: cactuswheel_adapter::WORKERS_TOPIC,
    part: 0,
};

/// Key of an intake record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IntakeKey {
    Submitted(JobId),
    Cancelled(JobId),
}

impl IntakeKey {
    pub(crate) fn job(self) -> JobId {
        match self {
            Self::Submitted(id) | Self::Cancelled(id) => id,
        }
    }

    pub(crate) fn parse(key: &str) -> Option<Self> {
        let (kind, id) = key.split_at_checked(1)?;
        let id = id.parse().ok()?;
        match kind {
            "s" => Some(Self::Submitted(id)),
            "c" => Some(Self::Cancelled(id)),
            _ => None,
        }
    }
}

impl std::fmt::Display for IntakeKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Submitted(id) => write!(f, "s{id}"),
            Self::Cancelled(id) => write!(f, "c{id}"),
        }
    }
}
