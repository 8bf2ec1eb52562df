//! Attempts at a job.

use crate::number::number;

number! {
    /// Counts the placements of one job; doubles as the fencing token of its task.
    Attempt(u32)
}

impl Attempt {
    /// The attempt after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
