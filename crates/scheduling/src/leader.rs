//! Selection of the entry that runs the planner.

use cactuswheel_model::EntryId;

/// Whether the entry `own` is the planning leader: its ID is the smallest among itself and the
/// `peers` that it has contact with.
///
/// Leadership only avoids duplicate work. Two leaders at once are harmless, because the order
/// of records in the log decides which placements take effect.
pub fn is_leader(own: &EntryId, peers: &[EntryId]) -> bool {
    peers.iter().all(|peer| own <= peer)
}
