//! What became of a ticket.

use cactuswheel_model::{Code, Digest, Offset, TicketNo};
use serde::{Deserialize, Serialize};

/// The lasting result of the first record with a ticket's number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The ticket.
    pub ticket: TicketNo,
    /// Where its record stands.
    pub offset: Offset,
    /// Digest of what it changes.
    pub digest: Digest,
    /// [`Code::Ok`] if it is in force, else why it was refused.
    pub code: Code,
    /// What was wrong, for people.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}
