//! Attempts to run a job.

use crate::number::number;

number! {
    /// Number of a job's placement on a worker, which also serves as the fencing token of its task.
    Attempt(u32)
}

impl Attempt {
    /// The attempt after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
