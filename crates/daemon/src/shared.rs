//! What the tasks of a node share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use cactuswheel_admission::{Denials, Holder, Shares};
use cactuswheel_fleet::{Replica, State};
use cactuswheel_model::{EntryId, InstanceId, LifeId, Map, Offset, Refusal, Set, TeamId, Time};
use cactuswheel_platform::{Client, RosterSnapshot};
use cactuswheel_routing::{Presences, Routes, Upstream};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::appender::Appender;
use crate::basis::Basis;
use crate::jobs::EventQueue;
use crate::log_link::LogLink;
use crate::metrics::Metrics;
use crate::peer_snapshot::PeerSnapshot;
use crate::peers::Heard;
use crate::phase::PhaseCell;
use crate::proxy::{Conns, Lines};
use crate::{LineLimit, Settings, candidates};

/// State that requests read without waiting; one writer for each part.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) platform: Client,
    pub(crate) phase: PhaseCell,
    /// Cancelled once a stop waits for requests no longer.
    pub(crate) drained_out: CancellationToken,
    /// The newest state; only `intake` stores here.
    pub(crate) state: ArcSwap<State>,
    /// The newest sightings; only the roster's task stores here, and `catch_up` while there are
    /// none.
    pub(crate) sightings: ArcSwap<RosterSnapshot>,
    /// Why maintenance waits, as of its last step.
    pub(crate) waits: ArcSwap<Vec<String>>,
    pub(crate) jobs: EventQueue,
    /// What the log and peers gave; its state is what `state` shows.
    pub(crate) replica: Mutex<Replica>,
    pub(crate) link: LogLink,
    pub(crate) appender: Appender,
    /// The snapshot that peers are taking in chunks.
    pub(crate) served: Mutex<Option<PeerSnapshot>>,
    pub(crate) routes: ArcSwap<Routes<Conns>>,
    /// Which instances are there; the lock is held while routes are built from them.
    presences: Mutex<Presences>,
    /// What the routes were built from.
    basis: Mutex<Option<Basis>>,
    /// Instances that maintenance keeps free of new work, as of the newest state.
    pub(crate) drained: ArcSwap<Set<InstanceId>>,
    holder: Mutex<Holder>,
    /// What entries give teams.
    pub(crate) shares: Mutex<Shares>,
    /// Where requests wait.
    pub(crate) lines: Lines,
    /// Withdrawn keys that the log may not show yet.
    pub(crate) denials: ArcSwap<Denials>,
    /// Wakes what tells the peers news.
    pub(crate) news: Notify,
    /// What each peer last said; off the request path.
    heard: Mutex<Map<EntryId, Heard>>,
    /// Tells how far the state has come.
    pub(crate) reached: watch::Sender<Offset>,
    requests: AtomicU64,
    /// Zero of this node's [`Time`].
    epoch: Instant,
    pub(crate) metrics: Metrics,
    /// Bounds the lines on refusals.
    pub(crate) refusals: LineLimit,
}

impl Shared {
    /// A node that knows nothing yet.
    pub(crate) fn new(settings: Settings) -> Self {
        let (reached, _) = watch::channel(Offset::default());
        let life = LifeId::new(settings.entry.clone(), rand::random());
        let holder = Holder::new(life, settings.dc.clone(), settings.limits.timing());
        Self {
            platform: Client::new(settings.platform),
            settings,
            phase: PhaseCell::default(),
            drained_out: CancellationToken::new(),
            state: ArcSwap::default(),
            sightings: ArcSwap::default(),
            routes: ArcSwap::default(),
            waits: ArcSwap::default(),
            jobs: EventQueue::default(),
            replica: Mutex::default(),
            link: LogLink::default(),
            appender: Appender::default(),
            served: Mutex::default(),
            presences: Mutex::default(),
            basis: Mutex::default(),
            drained: ArcSwap::default(),
            holder: Mutex::new(holder),
            shares: Mutex::default(),
            lines: Lines::default(),
            denials: ArcSwap::default(),
            news: Notify::new(),
            heard: Mutex::default(),
            reached,
            requests: AtomicU64::new(0),
            epoch: Instant::now(),
            metrics: Metrics::new(),
            refusals: LineLimit::default(),
        }
    }

    /// This entry's units, locked for a moment; never held over an await.
    pub(crate) fn holder(&self) -> MutexGuard<'_, Holder> {
        self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a unit of a team.
    ///
    /// The state is read with the lock held: read before, it may be older than the one that
    /// the last report was made from, and the unit would be taken under a cap already given up.
    pub(crate) fn enter(&self, team: &TeamId) -> Result<(), Refusal> {
        let mut holder = self.holder();
        let state = self.state.load();
        holder.acquire(self.now(), state.allotments(), team)
    }

    /// Whether this entry may start work.
    pub(crate) fn is_open(&self) -> bool {
        let holder = self.holder();
        holder.is_open(self.now(), self.state.load().allotments())
    }

    /// What each peer last said, locked for a moment.
    pub(crate) fn heard(&self) -> MutexGuard<'_, Map<EntryId, Heard>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A number for the next request.
    pub(crate) fn next_request(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed)
    }

    /// The time now.
    pub(crate) fn now(&self) -> Time {
        Time::default().after(self.epoch.elapsed())
    }

    /// Which instances are there, locked for a moment.
    pub(crate) fn presences(&self) -> MutexGuard<'_, Presences> {
        self.presences
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an upstream's own word that it leaves.
    pub(crate) fn hear_leaving(&self, upstream: &Upstream<Conns>) {
        if !upstream.mark_leaving() {
            return;
        }
        let news = self
            .presences()
            .mark_leaving(&upstream.id, upstream.incarnation);
        if news {
            self.reroute();
        }
    }

    /// Builds the routes anew from the newest state and presences.
    ///
    /// The lock makes the last writer the one that saw the newest parts. Without it a writer
    /// that was overtaken would put routes back that still list an instance that leaves.
    pub(crate) fn reroute(&self) {
        let presences = self.presences();
        let basis = Basis::new(self.state.load().config(), self.drained.load_full());
        let candidates = candidates::list(&basis, &presences, &self.settings);
        let routes = Routes::new(candidates, &self.routes.load());
        self.routes.store(Arc::new(routes));
        *self.basis() = Some(basis);
    }

    /// Builds the routes anew if the state brought anything that they depend on.
    ///
    /// Most records do not, and routes over thousands of instances take milliseconds.
    pub(crate) fn reroute_if_changed(&self) {
        let now = Basis::new(self.state.load().config(), self.drained.load_full());
        if self.basis().as_ref().is_none_or(|old| !old.is_same(&now)) {
            self.reroute();
        }
    }

    fn basis(&self) -> MutexGuard<'_, Option<Basis>> {
        self.basis.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
