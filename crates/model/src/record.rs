//! Records of the fleet's log stream.

use serde::{Deserialize, Serialize};

use crate::{Denial, Disruption, Holding, JobEvent, Moves, SnapshotMark, Ticket, Wave};

/// One record: a proposal that the fold accepts or refuses, alike on every node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// An operator's change.
    Ticket(Ticket),
    /// A key withdrawn outside tickets.
    Denial(Denial),
    /// An entry's word on units of teams' limits.
    Holding(Holding),
    /// Events of jobs, each judged by itself, in their order.
    Jobs(Vec<JobEvent>),
    /// Word of a complete snapshot; none is due for a while.
    Snapshot(SnapshotMark),
    /// A step of a planned outage, or a report of an unplanned one.
    Disruption(Disruption),
    /// The moves that are wanted.
    Moves(Moves),
    /// A maintenance wave's wanted state.
    Wave(Wave),
}
