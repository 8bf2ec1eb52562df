//! How long an ownership holds without a renewal.

use std::time::Duration;

use cactuswheel_capacity::MAX_EXPIRY;

use crate::link_rate::LinkRate;

/// Least time without a renewal after which the ownership may be claimed. Three renewals have to
/// be missed, or one answer lost and another renewal with it.
pub(crate) const MIN_EXPIRY: Duration = Duration::from_millis(800);

/// Times as long as its last renewal took that an ownership holds at least.
///
/// Failure: the store turns slow by a factor of a hundred, a renewal and the read that tells
/// others of it take longer than the ownership holds, and it goes from node to node.
const RENEWAL_FACTOR: u32 = 4;

/// Largest answer of the store that a renewal may have to wait behind on the node's own link, in
/// bytes: a page of five hundred records.
const MAX_PAGE_BYTES: usize = 320 << 10;

/// Time without a renewal after which an ownership may be claimed of a node with such a link.
///
/// Failure: an owner on a narrow link reads what earlier ones have left, its renewals wait behind
/// the pages, and the ownership is claimed before they are through; the next node fares the
/// same, and nothing runs any more. Behind one page a renewal still comes in time.
pub(crate) fn min_expiry_for(link: LinkRate) -> Duration {
    MIN_EXPIRY + page_time(link)
}

/// Time for which an ownership holds whose last renewal took that long; at least `least`.
pub fn expiry_for(least: Duration, renewal: Duration) -> Duration {
    (renewal * RENEWAL_FACTOR).min(MAX_EXPIRY).max(least)
}

/// Time that a large answer of the store takes on such a link, as far as anything waits for it.
pub(crate) fn page_time(link: LinkRate) -> Duration {
    link.transfer_time(MAX_PAGE_BYTES)
        .min(MAX_EXPIRY - MIN_EXPIRY)
}
