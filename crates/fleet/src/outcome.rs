//! The outcome of a ticket.

use cactuswheel_model::{Code, Digest, Offset, TicketNo};
use serde::{Deserialize, Serialize};

/// The final result of the first record with a ticket's number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The ticket.
    pub ticket: TicketNo,
    /// Offset of the record.
    pub offset: Offset,
    /// Digest of the ticket's changes.
    pub digest: Digest,
    /// [`Code::Ok`] if the ticket was accepted, otherwise the reason for the refusal.
    pub code: Code,
    /// Details of the refusal, for operators.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}
