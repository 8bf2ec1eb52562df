//! What peers may take of this node's state.

use std::sync::PoisonError;

use cactuswheel_model::Offset;
use cactuswheel_wire::{Chunk, Tail};

use crate::peer_snapshot::PeerSnapshot;
use crate::shared::Shared;
use crate::{Phase, sightings};

/// Most bytes of records in one answer, well below the largest frame.
const MAX_TAIL: usize = 512 << 10;

/// Most bytes of a snapshot in one answer.
const MAX_CHUNK: u32 = 256 << 10;

/// Records from `from` on; the tail begins later if those at `from` are not held any more.
pub(crate) fn records(shared: &Shared, from: Offset, max: u32) -> Tail {
    let replica = shared.replica();
    let empty = |first: Offset| Tail {
        first: first.get() as i64,
        bodies: Vec::new(),
    };
    // A node that does not serve has nothing that it is sure of.
    if shared.phase.get() == Phase::Starting || from >= replica.state().next() {
        return empty(from);
    }
    match replica.recent().read(from, max as usize, MAX_TAIL) {
        Some(bodies) => Tail {
            first: from.get() as i64,
            bodies: bodies.iter().map(|b| String::from(&**b)).collect(),
        },
        None => empty(replica.recent().first().max(from.next())),
    }
}

/// Part of the snapshot as of `head`; of a recent one if `head` is 0.
///
/// Failure: two fresh nodes with no platform could make each other believe that the fleet is
/// empty, and serve it. A node that does not serve hands out nothing.
pub(crate) fn snapshot(shared: &Shared, head: Offset, start: u64, max: u32) -> Option<Chunk> {
    if shared.phase.get() == Phase::Starting {
        return None;
    }
    let (state, kept) = {
        let replica = shared.replica();
        (replica.state().clone(), replica.recent().first())
    };
    // An earlier one does as long as the records after it can be had here as well.
    let mut served = shared.served.lock().unwrap_or_else(PoisonError::into_inner);
    if head == Offset::default() && served.as_ref().is_none_or(|s| s.head < kept) {
        *served = PeerSnapshot::of(&state, &sightings::known(shared)).ok();
    }
    let snapshot = served.as_ref()?;
    if head != Offset::default() && head != snapshot.head {
        return None;
    }
    let bytes = snapshot.text.as_bytes();
    let start = usize::try_from(start).ok()?;
    let end = bytes
        .len()
        .min(start.saturating_add(max.min(MAX_CHUNK) as usize));
    Some(Chunk {
        head: snapshot.head.get() as i64,
        size: bytes.len() as i64,
        start: start as i64,
        bytes: bytes.get(start..end)?.to_vec(),
    })
}
