//! What the tasks of a node share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use cactuswheel_admission::Gate;
use cactuswheel_fleet::{Replica, State};
use cactuswheel_model::{EntryId, Map, Offset};
use cactuswheel_platform::{Client, Sightings};
use cactuswheel_routing::{Candidate, Routes};
use tokio::sync::watch;

use crate::Settings;
use crate::appender::Appender;
use crate::log_link::LogLink;
use crate::peer_snapshot::PeerSnapshot;
use crate::peers::Heard;
use crate::phase::PhaseCell;

/// State that requests read without waiting; one writer for each part.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) platform: Client,
    pub(crate) phase: PhaseCell,
    /// The newest state; only `intake` stores here.
    pub(crate) state: ArcSwap<State>,
    /// The newest sightings; only the roster's task stores here, and `catch_up` while there are
    /// none.
    pub(crate) sightings: ArcSwap<Sightings>,
    pub(crate) routes: ArcSwap<Routes>,
    /// What the log and peers gave; its state is what `state` shows.
    pub(crate) replica: Mutex<Replica>,
    pub(crate) link: LogLink,
    pub(crate) appender: Appender,
    /// The snapshot that peers are taking in chunks.
    pub(crate) served: Mutex<Option<PeerSnapshot>>,
    gate: Mutex<Gate>,
    /// What each peer last said; off the request path.
    heard: Mutex<Map<EntryId, Heard>>,
    /// Tells how far the state has come.
    pub(crate) reached: watch::Sender<Offset>,
    requests: AtomicU64,
}

impl Shared {
    /// A node that knows nothing yet.
    pub(crate) fn new(settings: Settings) -> Self {
        let (reached, _) = watch::channel(Offset::default());
        Self {
            platform: Client::new(settings.platform),
            settings,
            phase: PhaseCell::default(),
            state: ArcSwap::default(),
            sightings: ArcSwap::default(),
            routes: ArcSwap::default(),
            replica: Mutex::default(),
            link: LogLink::default(),
            appender: Appender::default(),
            served: Mutex::default(),
            gate: Mutex::default(),
            heard: Mutex::default(),
            reached,
            requests: AtomicU64::new(0),
        }
    }

    /// The gate, locked for a moment; never held over an await.
    pub(crate) fn gate(&self) -> MutexGuard<'_, Gate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What each peer last said, locked for a moment.
    pub(crate) fn heard(&self) -> MutexGuard<'_, Map<EntryId, Heard>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A number for the next request.
    pub(crate) fn next_request(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed)
    }

    /// Builds the routes anew from the newest state and sightings.
    pub(crate) fn reroute(&self) {
        let state = self.state.load();
        let sightings = self.sightings.load();
        let candidates = sightings
            .instances
            .iter()
            .filter_map(|s| candidate(&state, s));
        // Two writers may race here; either builds from the newest parts, and the loser runs
        // the closure again on the winner's routes, so no count of running requests is lost.
        let candidates: Vec<_> = candidates.collect();
        self.routes
            .rcu(|old| Routes::new(candidates.iter().cloned(), old));
    }
}

fn candidate(state: &State, seen: &cactuswheel_platform::Sighting) -> Option<Candidate> {
    if seen.presence != cactuswheel_platform::Presence::Live {
        return None;
    }
    let instance = state.config().instances.get(&seen.id)?;
    Some(Candidate {
        id: seen.id.clone(),
        incarnation: seen.incarnation,
        addr: seen.addr,
        slots: instance.slots,
        pool: instance.pool.clone(),
    })
}
