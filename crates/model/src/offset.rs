//! Positions in the platform's log.

use crate::number::number;

number! {
    /// Position of a record in a log stream; the first record stands at 0.
    Offset(u64)
}

impl Offset {
    /// The position after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
