//! Dates, for people.

use crate::number::number;

number! {
    /// Milliseconds since 1970 by the clock of the entry that stamped it.
    ///
    /// Clocks differ between entries: it is shown, and nothing is decided by it.
    WallTime(u64)
}
