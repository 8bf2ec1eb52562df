//! State from peers, when the log does not give it.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_fleet::State;
use cactuswheel_model::Offset;
use cactuswheel_platform::RosterSnapshot;
use cactuswheel_wire::{Link, WireError};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::peer_snapshot::PeerSnapshot;
use crate::shared::Shared;
use crate::{Phase, sightings};

/// Time between two looks at whether peers are ahead.
const PERIOD: Duration = Duration::from_millis(500);

/// Records asked for at once.
const TAIL: u32 = 500;

/// Bytes of a snapshot asked for at once.
const CHUNK: u32 = 256 << 10;

/// Largest snapshot taken from a peer, in bytes.
const MAX_SNAPSHOT: u64 = 256 << 20;

/// Periods between two lines about a node that cannot start.
const COMPLAIN: u32 = 20;

/// Catches up from peers whenever the log leaves this node behind, for as long as it lives.
pub(crate) async fn watch(shared: Arc<Shared>) {
    let mut before = Offset::default();
    let mut fruitless = 0;
    loop {
        sleep(PERIOD).await;
        let next = shared.state.load().next();
        // Peers are ahead by moments all the time; behind is who stands still.
        let behind = next == before && shared.heard_head() > next;
        before = next;
        let starting = shared.phase.get() == Phase::Starting;
        let orphan = starting && shared.link.is_down();
        if !behind && !orphan && !shared.link.has_gap() {
            continue;
        }
        let reached = sync_all(&shared, starting || shared.link.has_gap()).await;
        if orphan && reached > 0 && shared.link.is_down() && shared.is_current() {
            log::warn!("in service with the state of {reached} peers: the log does not answer");
            shared.phase.advance(Phase::Ready);
        }
        if starting && reached == 0 {
            if fruitless % COMPLAIN == 0 {
                log::error!("not ready: no state from the log and no peer in service");
            }
            fruitless += 1;
        }
    }
}

/// Takes what every reachable peer has; the number of peers that had state to give.
async fn sync_all(shared: &Arc<Shared>, whole: bool) -> usize {
    let mut links = JoinSet::new();
    for peer in shared.settings.peers.clone() {
        links.spawn(async move { (peer, Link::connect(peer).await) });
    }
    let mut reached = 0;
    while let Some(Ok((peer, link))) = links.join_next().await {
        let done = match link {
            Ok(link) => sync(shared, &link, whole).await,
            Err(e) => Err(e),
        };
        match done {
            Ok(()) => reached += 1,
            Err(e) => log::debug!("peer {peer}: {e}"),
        }
    }
    reached
}

/// Takes what one peer has; an error if it has no state to give.
///
/// With `whole`, the peer has to show that it serves, by a snapshot.
async fn sync(shared: &Shared, link: &Link, whole: bool) -> Result<(), WireError> {
    if whole {
        take_snapshot(shared, link).await?;
    }
    loop {
        let next = shared.state.load().next();
        let tail = link.records(next, TAIL).await?;
        let first = Offset::new(tail.first as u64);
        if first > next {
            take_snapshot(shared, link).await?;
            continue;
        }
        if !matches!(shared.take(first, &tail.bodies), Ok(applied) if applied > 0) {
            return Ok(());
        }
    }
}

async fn take_snapshot(shared: &Shared, link: &Link) -> Result<(), WireError> {
    let mut chunk = link.snapshot(Offset::default(), 0, CHUNK).await?;
    let head = Offset::new(chunk.head as u64);
    if head <= shared.state.load().next() {
        return Ok(());
    }
    let size = chunk.size as u64;
    let mut bytes = chunk.bytes;
    while (bytes.len() as u64) < size.min(MAX_SNAPSHOT) {
        chunk = link.snapshot(head, bytes.len() as u64, CHUNK).await?;
        if chunk.bytes.is_empty() {
            break;
        }
        bytes.extend(chunk.bytes);
    }
    let text = String::from_utf8(bytes).unwrap_or_default();
    match (PeerSnapshot { head, text }).read() {
        Ok((state, sightings)) => take_whole(shared, state, sightings),
        Err(e) => log::warn!("snapshot from a peer: {e}"),
    }
    Ok(())
}

fn take_whole(shared: &Shared, state: State, sightings: RosterSnapshot) {
    // Whatever the roster itself told is newer than what a peer remembers.
    if shared.sightings.load().instances.is_empty() {
        sightings::take(shared, sightings);
    }
    shared.adopt(state);
}
