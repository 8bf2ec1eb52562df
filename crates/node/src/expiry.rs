//! Expiry of an ownership that is not renewed.

use std::time::Duration;

use cactuswheel_capacity::MAX_EXPIRY;

use crate::link_rate::LinkRate;

/// Minimum time without a renewal after which the ownership may be claimed. It is long enough that
/// three renewals must be missed, or the answer to one and the renewal after it.
pub(crate) const MIN_EXPIRY: Duration = Duration::from_millis(800);

/// The expiry is at least the duration of the last renewal times this factor.
///
/// Otherwise, when the store becomes slower by a factor of 100, a renewal plus the read by which
/// other nodes learn of it would take longer than the expiry, and the ownership would pass from
/// node to node.
const RENEWAL_FACTOR: u32 = 4;

/// Size of the largest store response that can delay a renewal on the node's own link, in bytes: a
/// page of 500 records.
const MAX_PAGE_BYTES: usize = 320 << 10;

/// Minimum expiry of the ownership of a node with this link.
///
/// While an owner on a slow link reads the state of earlier owners, its renewals queue behind the
/// pages. With the expiry for a fast link, the ownership would be claimed before they arrive; the
/// same would happen to the next node, and no jobs would run. With this expiry a renewal that
/// queues behind one page still arrives in time.
pub(crate) fn min_expiry_for(link: LinkRate) -> Duration {
    MIN_EXPIRY + page_time(link)
}

/// Expiry of an ownership whose last renewal took `renewal`; at least `least`.
pub fn expiry_for(least: Duration, renewal: Duration) -> Duration {
    (renewal * RENEWAL_FACTOR).min(MAX_EXPIRY).max(least)
}

/// Time to transfer the largest store response over the link, limited so that the minimum expiry
/// does not exceed the maximum.
pub(crate) fn page_time(link: LinkRate) -> Duration {
    link.transfer_time(MAX_PAGE_BYTES)
        .min(MAX_EXPIRY - MIN_EXPIRY)
}
