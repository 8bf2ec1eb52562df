//! One row of the audit trail.

use cactuswheel_model::{Code, ObjectId, Offset, OperatorId, TicketNo, WallTime};
use serde::{Deserialize, Serialize};

use crate::Image;

/// What a ticket did to one object, or that it was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRow {
    /// When the ticket was put in, by the clock of the entry that took it.
    pub at: Option<WallTime>,
    /// Who put it in.
    pub author: Option<OperatorId>,
    /// The ticket; none for a planner's move and for a key withdrawn outside tickets.
    pub ticket: Option<TicketNo>,
    /// Where its record stands; settles the order of rows.
    pub offset: Offset,
    /// The object; none for a refused ticket that names none.
    pub object: Option<ObjectId>,
    /// The object before; none if there was none, or if the ticket was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Image>,
    /// The object after; none if it was removed, or if the ticket was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Image>,
    /// What became of the ticket.
    pub code: Code,
    /// Why it was refused, for people.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}
