//! How far an upstream is.

/// Where an upstream is, seen from this entry; nearer ones come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Nearness {
    /// In the entry's data centre.
    SameDc,
    /// In another data centre of its region.
    SameRegion,
    /// In another region.
    OtherRegion,
}
