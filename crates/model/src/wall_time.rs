//! Wall-clock times, for display only.

use crate::number::number;

number! {
    /// Wall-clock time, in milliseconds since 1970 by the clock of the entry that set it.
    ///
    /// The clocks of entries differ, so it is only displayed and no decision depends on it.
    WallTime(u64)
}
