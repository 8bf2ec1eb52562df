//! Keys that were withdrawn outside tickets.

use cactuswheel_model::{Denial, Digest, OperatorId};
use serde::{Deserialize, Serialize};

use crate::Table;

/// Maximum number of withdrawals kept; more than years of use need.
const MAX_DENIALS: usize = 100_000;

/// Withdrawn keys, and who withdrew them.
///
/// A withdrawal is never undone: a key that is granted after its withdrawal stays withdrawn.
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

    /// Records a withdrawal; returns `false` if the key was withdrawn already or the table is
    /// full.
    pub(crate) fn insert(&mut self, denial: &Denial) -> bool {
        if self.contains(&denial.digest) || self.rows.len() >= MAX_DENIALS {
            return false;
        }
        self.rows.insert(denial.digest, denial.by.clone());
        true
    }
}
