//! Which entry plans.

use cactuswheel_model::EntryId;

/// Whether `own` plans, among itself and the `peers` that it hears.
///
/// Only spares double work: what holds is settled by the log.
pub fn is_leader(own: &EntryId, peers: &[EntryId]) -> bool {
    peers.iter().all(|peer| own <= peer)
}
