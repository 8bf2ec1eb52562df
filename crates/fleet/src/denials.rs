//! Keys that were withdrawn outside tickets.

use cactuswheel_model::{Denial, Digest, OperatorId};
use serde::{Deserialize, Serialize};

use crate::Table;

/// Denials kept; more than keys are withdrawn in years.
const MAX_DENIALS: usize = 100_000;

/// Who withdrew which key.
///
/// Never undone: a key that is granted after it was denied stays denied.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Denials {
    /// Invariant: at most `MAX_DENIALS` rows.
    rows: Table<Digest, OperatorId>,
}

impl Denials {
    /// Whether a key was withdrawn.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.rows.contains(digest)
    }

    /// Notes a withdrawal; whether it is news.
    pub(crate) fn insert(&mut self, denial: &Denial) -> bool {
        if self.contains(&denial.digest) || self.rows.len() >= MAX_DENIALS {
            return false;
        }
        self.rows.insert(denial.digest, denial.by.clone());
        true
    }
}
