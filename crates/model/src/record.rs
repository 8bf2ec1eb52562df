//! Records of the fleet's log stream.

use serde::{Deserialize, Serialize};

use crate::{Holding, Ticket};

/// One record: a proposal that the fold accepts or refuses, alike on every node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// An operator's change.
    Ticket(Ticket),
    /// An entry's word on units of teams' limits.
    Holding(Holding),
}
