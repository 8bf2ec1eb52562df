//! Units of concurrent work.

use crate::number::number;

number! {
    /// Number of requests or jobs that can run at the same time.
    Slots(u32)
}
