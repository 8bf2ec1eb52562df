//! Units of concurrent work.

use crate::number::number;

number! {
    /// Number of requests that run at the same time.
    Slots(u32)
}
