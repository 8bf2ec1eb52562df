//! An entry's share of a resource that all entries use.

/// Returns the share of `total` units for one of `entries` entries, at least one unit.
///
/// The share is rounded down, so that all shares together do not exceed `total`. The exception is
/// more entries than units: each entry still gets one, since it could not serve without any.
pub fn even_share(total: u32, entries: u32) -> u32 {
    (total / entries.max(1)).max(1)
}
