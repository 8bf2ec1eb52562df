//! Numbered change tickets.

use serde::{Deserialize, Serialize};

use crate::{Change, Digest, OperatorId, TicketNo, WallTime};

/// A change that operators put in, applied whole or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// Its number.
    pub ticket: TicketNo,
    /// Who put it in; set by the entry from the operator's key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<OperatorId>,
    /// When it was put in; set by the entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at: Option<WallTime>,
    /// Why, for people who read the log.
    #[serde(default)]
    pub reason: String,
    /// New states; no object twice.
    pub changes: Vec<Change>,
}

impl Ticket {
    /// Digest of what the ticket changes, which tells a repeat from a conflict.
    ///
    /// Author and time are left out: a repeat through another operator's key is still a repeat.
    pub fn digest(&self) -> Digest {
        let bytes = serde_json::to_vec(&self.changes).unwrap_or_default();
        Digest::of(&bytes)
    }
}
