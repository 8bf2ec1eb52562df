//! Beats between entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::{Digest, EntryId, LifeId, Offset, Time};
use cactuswheel_wire::{Beat, Chunk, Denial, Link, PeerHandler, Tail, WireError};
use tokio::time::{Instant, sleep, timeout};

use crate::shared::Shared;
use crate::{peer_state, shares};

/// Time between two beats to one peer.
const PERIOD: Duration = Duration::from_secs(1);

/// What a peer last said.
#[derive(Debug, Clone)]
pub(crate) struct Heard {
    /// When.
    pub(crate) at: Instant,
    /// The offset of the next record it will apply.
    pub(crate) head: Offset,
    /// Which life of it.
    life: LifeId,
    /// When it said so, by its clock.
    stamp: i64,
}

/// This entry's answers to its peers.
#[derive(Debug, Clone)]
pub(crate) struct Answerer(pub(crate) Arc<Shared>);

impl PeerHandler for Answerer {
    fn beat(&self, beat: Beat) -> Beat {
        hear(&self.0, &beat);
        own_beat(&self.0, beat.entry.parse().ok().as_ref())
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
    let mut entry = None;
    loop {
        let beat = link.beat(&own_beat(shared, entry.as_ref())).await?;
        hear(shared, &beat);
        entry = beat.entry.parse().ok();
        // News goes out at once.
        let _ = timeout(PERIOD, shared.news.notified()).await;
    }
}

/// What to tell `peer`, as far as it is known which one it is.
fn own_beat(shared: &Shared, peer: Option<&EntryId>) -> Beat {
    let heard = peer.and_then(|peer| shared.heard().get(peer).cloned());
    let state = shared.state.load();
    let holder = shared.holder();
    let now = shared.now();
    let renews = |h: &Heard| holder.may_renew(now, state.allotments(), &h.life);
    Beat {
        entry: shared.settings.entry.to_string(),
        dc: shared.settings.dc.to_string(),
        head: state.next().get() as i64,
        life: holder.life().to_string(),
        stamp: now.get() as i64,
        renews: heard.as_ref().is_some_and(renews),
        echo: heard.as_ref().map(|h| h.stamp),
        heard: heard.map(|h| h.life.to_string()),
        denials: denials(shared, now.get() as usize),
        given: shares::told(shared, now),
    }
}

fn denials(shared: &Shared, turn: usize) -> Option<Vec<Denial>> {
    let known = shared.denials.load();
    let told = known.batch(turn).map(|d| Denial {
        digest: d.digest.as_bytes().to_vec(),
        operator: d.by.to_string(),
    });
    let told: Vec<_> = told.collect();
    (!told.is_empty()).then_some(told)
}

fn hear_denial(shared: &Shared, told: &Denial) {
    if let (Some(digest), Ok(by)) = (Digest::from_bytes(&told.digest), told.operator.parse()) {
        shared.hear_denial(cactuswheel_model::Denial { digest, by });
    }
}

fn hear(shared: &Shared, beat: &Beat) {
    let (Ok(entry), Ok(life)) = (beat.entry.parse::<EntryId>(), beat.life.parse::<LifeId>()) else {
        return;
    };
    let heard = Heard {
        at: Instant::now(),
        head: Offset::new(beat.head as u64),
        life,
        stamp: beat.stamp,
    };
    for told in beat.denials.iter().flatten() {
        hear_denial(shared, told);
    }
    if let Some(given) = &beat.given {
        shares::hear(shared, &entry, given);
    }
    hear_units(shared, &heard.life, beat);
    shared.heard().insert(entry, heard);
}

/// Takes what a peer says of this life; an echo of an earlier life's clock means nothing here.
fn hear_units(shared: &Shared, life: &LifeId, beat: &Beat) {
    let mut holder = shared.holder();
    holder.record_heartbeat(shared.now(), life);
    let own = beat.heard.as_deref() == Some(holder.life().to_string().as_str());
    if let Some(echo) = beat.echo.filter(|_| own && beat.renews) {
        holder.record_renewal(Time::new(echo as u64));
    }
}
