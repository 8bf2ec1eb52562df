//! Successive lives of one instance.

use crate::number::number;

number! {
    /// Counts the starts of an instance; raised by the platform at every reboot or replacement.
    Incarnation(u64)
}
