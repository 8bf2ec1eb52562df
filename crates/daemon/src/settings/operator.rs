//! Operators.

use cactuswheel_model::{Digest, OperatorId};
use serde::Deserialize;

/// An operator and the digest of the operator's key.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name for the audit trail.
    pub name: OperatorId,
    /// Digest of the key; the key itself does not belong into a file.
    pub digest: Digest,
}
