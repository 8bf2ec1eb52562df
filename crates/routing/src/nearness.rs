//! The distance of an upstream from this entry.

/// The location of an upstream relative to this entry; nearer ones are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Nearness {
    /// In the entry's data centre.
    SameDc,
    /// In another data centre of its region.
    SameRegion,
    /// In another region.
    OtherRegion,
}
