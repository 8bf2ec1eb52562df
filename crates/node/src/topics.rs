//! The system's own topics in the platform's store. Each partition belongs to one cell.

use cactuswheel_adapter::Partition;
use cactuswheel_work::JobId;

/// A partition of what fronts accepted: submissions and cancels, by job. Nothing here is ever
/// changed, so any front may write at any time without knowing the cell's owner.
pub(crate) const fn intake(part: u32) -> Partition {
    Partition {
        topic: "keyed.intake",
        part,
    }
}

/// Number of the intake's partition that a job's records are in, of `parts`.
///
/// Failure: the store takes one append of a partition at a time. While it is slow, appends of
/// all fronts to one partition wait for each other for longer than callers do; spread by job
/// they do not meet, and a job's cancel still follows the job.
pub(crate) fn intake_part(id: JobId, parts: u32) -> u32 {
    (id.get() % u64::from(parts)) as u32
}

/// The owner's state of each job. Only the newest owner can write: its epoch shuts out others.
pub(crate) const JOURNAL: Partition = Partition {
    topic: "keyed.journal",
    part: 0,
};

/// Who owns the cell.
pub(crate) const OWNER: Partition = Partition {
    topic: "keyed.owner",
    part: 0,
};

/// Instances that had their maintenance, as `WAVE/INSTANCE`.
pub(crate) const MAINTAINED: Partition = Partition {
    topic: "keyed.maintained",
    part: 0,
};

/// When each wave of maintenance was first seen, in milliseconds since 1970, by its number.
pub(crate) const WAVES: Partition = Partition {
    topic: "keyed.waves",
    part: 0,
};

/// A partition of who ordered an instance last, and when. Any partition may hold any instance.
pub(crate) const fn orders(part: u32) -> Partition {
    Partition {
        topic: "keyed.orders",
        part,
    }
}

/// The operators' records.
pub(crate) const OPERATORS: Partition = Partition {
    topic: cactuswheel_adapter::OPERATOR_TOPIC,
    part: 0,
};

/// The workers' entries.
pub(crate) const WORKERS: Partition = Partition {
    topic: cactuswheel_adapter::WORKERS_TOPIC,
    part: 0,
};

/// A record of the intake, by its key.
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
