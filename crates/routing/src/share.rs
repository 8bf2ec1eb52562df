//! An entry's part of what all entries share.

/// The part of `total` for one of `entries`, at least one.
///
/// Rounded down, so that all parts together fit; only where there are more entries than units
/// does each still get one, since an entry without any could not serve.
pub fn even_share(total: u32, entries: u32) -> u32 {
    (total / entries.max(1)).max(1)
}
