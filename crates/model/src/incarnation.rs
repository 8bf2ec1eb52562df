//! Incarnations of an instance.

use crate::number::number;

number! {
    /// Number of a start of an instance; the platform increments it at every reboot or
    /// replacement.
    Incarnation(u64)
}
