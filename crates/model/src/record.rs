//! Records of the fleet's log stream.

use serde::{Deserialize, Serialize};

use crate::{Denial, Disruption, Holding, JobEvent, Moves, SnapshotMark, Ticket, Wave};

/// A record: a proposal that the replicated state accepts or refuses when it applies the log.
///
/// Every node decides the same.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// A change ticket of an operator.
    Ticket(Ticket),
    /// A key withdrawn without a ticket.
    Denial(Denial),
    /// A report of an entry on units of the teams' limits.
    Holding(Holding),
    /// Events of jobs, applied in order, each accepted or refused independently.
    Jobs(Vec<JobEvent>),
    /// Notice that a snapshot is complete, so the next one is not due for a while.
    Snapshot(SnapshotMark),
    /// A step of a planned outage, or a report of an unplanned one.
    Disruption(Disruption),
    /// The complete list of wanted moves.
    Moves(Moves),
    /// The wanted state of a maintenance wave.
    Wave(Wave),
}
