//! Sizes of instances and of work.

use crate::number::number;

number! {
    /// Number of processor cores.
    Cores(u32)
}
number! {
    /// Memory, in MiB.
    Mebibytes(u64)
}
number! {
    /// Size of a message or a part of it, in bytes.
    ByteSize(u64)
}
