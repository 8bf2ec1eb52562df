//! Withdrawals of keys outside tickets.

use serde::{Deserialize, Serialize};

use crate::{Digest, OperatorId};

/// An operator's word that a key is withdrawn, given at any entry.
///
/// It only takes authority away, so it needs no agreement: it holds wherever it is heard, and
/// the log remembers it once it gets there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Denial {
    /// Digest of the key.
    pub digest: Digest,
    /// Who withdrew it.
    pub by: OperatorId,
}
