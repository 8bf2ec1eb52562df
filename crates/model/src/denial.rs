//! Withdrawal of keys without a ticket.

use serde::{Deserialize, Serialize};

use crate::{Digest, OperatorId};

/// An operator's withdrawal of a key, accepted by any entry.
///
/// A denial only removes authority, so it needs no consensus: every entry that receives it
/// applies it, and it becomes durable once it is appended to the log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Denial {
    /// Digest of the withdrawn key.
    pub digest: Digest,
    /// Operator who withdrew the key.
    pub by: OperatorId,
}
