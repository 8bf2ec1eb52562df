//! Names what a job runs by its content.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Names what a job runs by its content: whoever has a text of this digest has the right one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SpecDigest([u8; 32]);

impl SpecDigest {
    /// Of a text.
    pub fn of(spec: &str) -> Self {
        Self(*blake3::hash(spec.as_bytes()).as_bytes())
    }
}

impl fmt::Display for SpecDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..8].iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}
