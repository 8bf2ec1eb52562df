//! Log lines on holds.

use cactuswheel_demand::HoldChange;

/// Logs the begin or the end of a hold.
pub(crate) fn log_hold(change: &HoldChange) {
    match change {
        HoldChange::Begun(begin) => log::info!(
            cause = begin.blockage.cause.as_str(),
            age_ms = begin.blockage.age.as_millis() as u64;
            "pools held"
        ),
        HoldChange::Ended(end) => log::info!(
            held_ms = end.held.as_millis() as u64, outage_ms = end.outage.as_millis() as u64,
            expired = end.expired;
            "hold of pools ended"
        ),
    }
}
