//! Positions in the platform's log.

use crate::number::number;

number! {
    /// Position of a record in a log stream; the first record has offset 0.
    Offset(u64)
}

impl Offset {
    /// The offset after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
