//! Beats between entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::{EntryId, Offset};
use cactuswheel_wire::{Answers, Beat, Chunk, Link, Tail, WireError};
use tokio::time::{Instant, sleep};

use crate::peer_state;
use crate::shared::Shared;

/// Time between two beats to one peer.
const PERIOD: Duration = Duration::from_secs(1);

/// What a peer last said.
#[derive(Debug, Clone)]
pub(crate) struct Heard {
    /// When.
    pub(crate) at: Instant,
    /// The offset of the next record it will apply.
    pub(crate) head: Offset,
}

/// This entry's answers to its peers.
#[derive(Debug, Clone)]
pub(crate) struct Answerer(pub(crate) Arc<Shared>);

impl Answers for Answerer {
    fn beat(&self, beat: Beat) -> Beat {
        hear(&self.0, &beat);
        own_beat(&self.0)
    }

    fn records(&self, from: Offset, max: u32) -> Tail {
        peer_state::records(&self.0, from, max)
    }

    fn snapshot(&self, head: Offset, start: u64, max: u32) -> Option<Chunk> {
        peer_state::snapshot(&self.0, head, start, max)
    }
}

/// Exchanges beats with one peer for as long as the task lives.
pub(crate) async fn beat(shared: Arc<Shared>, peer: SocketAddr) {
    loop {
        if let Err(e) = converse(&shared, peer).await {
            log::debug!("peer {peer}: {e}");
        }
        sleep(PERIOD).await;
    }
}

async fn converse(shared: &Shared, peer: SocketAddr) -> Result<(), WireError> {
    let link = Link::connect(peer).await?;
    loop {
        let beat = link.beat(&own_beat(shared)).await?;
        hear(shared, &beat);
        sleep(PERIOD).await;
    }
}

fn own_beat(shared: &Shared) -> Beat {
    Beat {
        entry: shared.settings.entry.to_string(),
        dc: shared.settings.dc.to_string(),
        head: shared.state.load().next().get() as i64,
    }
}

fn hear(shared: &Shared, beat: &Beat) {
    let Ok(entry) = beat.entry.parse::<EntryId>() else {
        return;
    };
    let heard = Heard {
        at: Instant::now(),
        head: Offset::new(beat.head as u64),
    };
    shared.heard().insert(entry, heard);
}
