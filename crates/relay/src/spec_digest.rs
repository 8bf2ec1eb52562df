//! Digest of a job spec.

use std::fmt;

use serde::{Deserialize, Serialize};

/// BLAKE3 digest of a job spec. Two specs with the same digest are the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SpecDigest([u8; 32]);

impl SpecDigest {
    /// The digest of a spec.
    pub fn of(spec: &str) -> Self {
        Self(*blake3::hash(spec.as_bytes()).as_bytes())
    }
}

impl fmt::Display for SpecDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..8].iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}
