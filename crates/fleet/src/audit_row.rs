//! One row of the audit trail.

use cactuswheel_model::{Code, ObjectId, Offset, OperatorId, TicketNo, WallTime};
use serde::{Deserialize, Serialize};

use crate::Image;

/// A change to one object, or the refusal of a ticket that names it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRow {
    /// When the ticket was submitted, by the clock of the entry that accepted it.
    pub at: Option<WallTime>,
    /// Who submitted the ticket or withdrew the key.
    pub author: Option<OperatorId>,
    /// The ticket; `None` for a planned move and for a key withdrawn outside tickets.
    pub ticket: Option<TicketNo>,
    /// Offset of the record; rows are ordered by it.
    pub offset: Offset,
    /// The object; `None` for a refused ticket without changes.
    pub object: Option<ObjectId>,
    /// The object before the change; `None` if it did not exist or the ticket was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Image>,
    /// The object after the change; `None` if it was removed or the ticket was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Image>,
    /// Result code of the ticket.
    pub code: Code,
    /// Additional text for operators, such as the reason for a refusal.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}
