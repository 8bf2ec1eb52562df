//! Numbered change tickets.

use serde::{Deserialize, Serialize};

use crate::{Change, Digest, OperatorId, TicketNo, WallTime};

/// A set of changes that an operator submits, applied atomically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// Number of the ticket.
    pub ticket: TicketNo,
    /// Operator who submitted the ticket; set by the entry from the operator's key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<OperatorId>,
    /// Time of submission; set by the entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at: Option<WallTime>,
    /// Human-readable reason for the change, for readers of the log.
    #[serde(default)]
    pub reason: String,
    /// The changes; each object at most once.
    pub changes: Vec<Change>,
}

impl Ticket {
    /// Digest of the ticket's changes, which distinguishes a repeated ticket from a conflicting
    /// one with the same number.
    ///
    /// It does not cover author and time: a ticket repeated with another operator's key is still
    /// a repeat.
    pub fn digest(&self) -> Digest {
        let bytes = serde_json::to_vec(&self.changes).unwrap_or_default();
        Digest::of(&bytes)
    }
}
