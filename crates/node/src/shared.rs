//! State shared between the tasks of a node. State on the request path is read without a lock.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use cactuswheel_adapter::StoreClient;
use cactuswheel_cell::StateLimits;
use cactuswheel_model::{Set, Time};
use cactuswheel_relay::SpecCache;
use cactuswheel_rtt::RttEstimator;
use cactuswheel_work::{FleetConfig, Wave, ZoneName};
use tokio::sync::Notify;

use crate::call_health::CallHealth;
use crate::clock::Clock;
use crate::expiry::min_expiry_for;
use crate::metrics::Metrics;
use crate::order_log::OrderLog;
use crate::overload::Overload;
use crate::owner_handle::OwnerHandle;
use crate::owner_outage::OwnerOutage;
use crate::peer::{OwnerAddress, PeerLink};
use crate::settings::Settings;
use crate::state_room::KnownRoom;
use crate::stop_schedule::StopSchedule;

/// State shared between the tasks of a node.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    /// Random number that identifies this process among all incarnations of the node.
    pub(crate) life: u64,
    pub(crate) clock: Clock,
    pub(crate) store: StoreClient,
    /// Log of the orders sent to instances.
    pub(crate) orders: OrderLog,
    /// Latency of appends to the store.
    pub(crate) append_rtt: RttEstimator,
    pub(crate) metrics: Metrics,
    /// The newest configuration; `None` until the first one is read.
    pub(crate) config: ArcSwapOption<FleetConfig>,
    /// Maintenance waves requested by the operators.
    pub(crate) waves: ArcSwapOption<Vec<Wave>>,
    /// Data centres that the operators are evacuating.
    pub(crate) evacuated: ArcSwap<Set<ZoneName>>,
    /// When the last read that confirmed the configuration was sent, in milliseconds.
    config_confirmed: AtomicU64,
    store_health: CallHealth,
    /// Address of the cell's owner, from the newest ownership record.
    pub(crate) owner: ArcSwapOption<OwnerAddress>,
    /// Connection to the owner.
    pub(crate) owner_link: ArcSwapOption<PeerLink>,
    /// Latency of the owner's answers when this node hands in jobs.
    pub(crate) accept_rtt: RttEstimator,
    /// Whether a task is connecting to the owner.
    pub(crate) connecting: AtomicBool,
    /// Handle of the owner, while this node owns the cell.
    pub(crate) local_owner: ArcSwapOption<OwnerHandle>,
    /// Whether an owner answers when this node hands in jobs.
    pub(crate) owner_outage: OwnerOutage,
    /// Held while this front end probes whether the owner takes jobs; one probe runs at a time.
    pub(crate) probe_turn: tokio::sync::Mutex<()>,
    /// Waiting times last reported by the owner.
    pub(crate) overload: Overload,
    /// Room for new jobs that the owner last reported.
    pub(crate) room: KnownRoom,
    /// Memory of the smallest node known that may own the cell, in MiB.
    least_memory: AtomicU64,
    /// Specs of the jobs that this node accepted or relayed.
    specs: Mutex<SpecCache>,
    /// Minimum time without a renewal after which another node may claim this node's ownership.
    pub(crate) min_expiry: Duration,
    /// Expiry in this node's newest ownership record, in milliseconds.
    expiry: AtomicU64,
    /// Notified when the known owner does not answer, as there may be a new owner.
    pub(crate) owner_unreachable: Notify,
    /// When the last write that confirmed this node's ownership was sent, in milliseconds.
    ownership_confirmed: AtomicU64,
    /// Until when this node does not claim the ownership, in milliseconds.
    claim_pause: AtomicU64,
    /// The ownership must be claimed under a new epoch, because this node stopped running the cell
    /// while it still held the ownership.
    pub(crate) reclaim: AtomicBool,
    /// Set when the stop of this process begins.
    stop: OnceLock<StopSchedule>,
}

/// The owner of the cell, as far as this node knows.
#[derive(Debug)]
pub(crate) struct BelievedOwner {
    /// Name of the owner; empty if there is none.
    pub(crate) node: String,
    /// Epoch of the ownership; 0 if there is none.
    pub(crate) epoch: u64,
}

/// Share of the key revocation bound after which an unconfirmed configuration is stale. The rest
/// covers the time from the key check to the start on a worker, and clock rounding.
const MAX_CONFIG_AGE_SHARE: f64 = 0.8;

/// How long a node that failed to take over the cell leaves the ownership to other nodes. It is
/// long enough for each of a few hundred nodes to try once.
const CLAIM_PAUSE: Duration = Duration::from_secs(10);

/// Minimum wait for the answer to an append before a second attempt is sent in parallel. An append
/// takes about 10 ms, but a node that has used up its CPU quota is suspended for 100 ms.
const MIN_APPEND_TIMEOUT: Duration = Duration::from_millis(200);

/// Bounds of the wait for the owner to accept a job before the front end stores it in the intake
/// itself.
const MIN_ACCEPT_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_ACCEPT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum wait for the answer to an append, for a store that takes most of a second.
const MAX_APPEND_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Size of the cache of job specs, in bytes.
const SPEC_CACHE_BYTES: usize = 4 << 20;

impl Shared {
    pub(crate) fn new(settings: Settings, life: u64, metrics: Metrics) -> Self {
        Self {
            store: StoreClient::new(settings.store),
            orders: OrderLog::new(settings.parts),
            append_rtt: RttEstimator::new(MIN_APPEND_TIMEOUT, MAX_APPEND_TIMEOUT),
            min_expiry: min_expiry_for(settings.link),
            expiry: AtomicU64::new(min_expiry_for(settings.link).as_millis() as u64),
            owner_unreachable: Notify::new(),
            room: KnownRoom::new(&settings.state_limits()),
            least_memory: AtomicU64::new(settings.least_memory()),
            settings,
            life,
            clock: Clock,
            metrics,
            config: ArcSwapOption::empty(),
            waves: ArcSwapOption::empty(),
            evacuated: ArcSwap::default(),
            config_confirmed: AtomicU64::new(0),
            store_health: CallHealth::default(),
            owner: ArcSwapOption::empty(),
            owner_link: ArcSwapOption::empty(),
            accept_rtt: RttEstimator::new(MIN_ACCEPT_TIMEOUT, MAX_ACCEPT_TIMEOUT),
            connecting: AtomicBool::new(false),
            local_owner: ArcSwapOption::empty(),
            owner_outage: OwnerOutage::default(),
            probe_turn: tokio::sync::Mutex::default(),
            overload: Overload::default(),
            specs: Mutex::new(SpecCache::new(SPEC_CACHE_BYTES)),
            ownership_confirmed: AtomicU64::new(0),
            claim_pause: AtomicU64::new(0),
            reclaim: AtomicBool::new(false),
            stop: OnceLock::new(),
        }
    }

    /// Records the memory, in MiB, of a node that may own the cell.
    pub(crate) fn learn_memory(&self, memory: u64) {
        if self.settings.least_memory.is_none() {
            self.least_memory.fetch_min(memory, Ordering::Relaxed);
        }
    }

    /// Limits of the open jobs' state that every node known can take over.
    pub(crate) fn state_limits(&self) -> StateLimits {
        let memory = self.least_memory.load(Ordering::Relaxed);
        StateLimits::of_memory(memory << 20)
    }

    /// Limits of the open jobs' state by this node's own memory.
    pub(crate) fn own_limits(&self) -> StateLimits {
        StateLimits::of_memory(self.settings.memory << 20)
    }

    /// Specs of the jobs that this node accepted or relayed.
    pub(crate) fn specs(&self) -> MutexGuard<'_, SpecCache> {
        self.specs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a read sent at `sent` confirmed the configuration.
    pub(crate) fn confirm_config(&self, sent: Time) {
        self.config_confirmed
            .fetch_max(sent.get(), Ordering::Relaxed);
    }

    /// Time since the configuration was last confirmed, in milliseconds.
    pub(crate) fn config_age(&self) -> u64 {
        let confirmed = Time::new(self.config_confirmed.load(Ordering::Relaxed));
        self.clock.now().since(confirmed).as_millis() as u64
    }

    /// Whether the configuration is recent enough that a revoked key cannot be accepted past the
    /// revocation bound.
    pub(crate) fn is_config_fresh(&self) -> bool {
        let bound = self.settings.times.revoke.get() as f64 * MAX_CONFIG_AGE_SHARE;
        self.config.load().is_some() && (self.config_age() as f64) < bound
    }

    /// Records a failed call to the store.
    pub(crate) fn store_failed(&self) {
        if self.store_health.failed(self.clock.now()) {
            log::warn!(config_age_ms = self.config_age(); "store unreachable");
        }
    }

    /// Records an answer of the store.
    pub(crate) fn store_answered(&self) {
        if let Some(time) = self.store_health.answered(self.clock.now()) {
            log::info!(ms = time.as_millis() as u64; "store reachable again");
        }
    }

    /// For how long calls to the store have been failing; `None` if it counts as reachable.
    pub(crate) fn store_outage(&self) -> Option<Duration> {
        let now = self.clock.now();
        let unreachable = self.store_health.is_unreachable(now);
        unreachable.then(|| self.store_health.failing_for(now))
    }

    /// Whether the node accepts new callers, as reported to the load balancer.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_config_fresh()
            && !self.store_health.is_unreachable(self.clock.now())
            && !self.is_stopping()
    }

    /// Records that a write sent at `sent` confirmed this node's ownership.
    pub(crate) fn confirm_ownership(&self, sent: Time) {
        self.ownership_confirmed
            .fetch_max(sent.get(), Ordering::Relaxed);
    }

    /// Whether a write sent at or after `time` confirmed this node's ownership.
    pub(crate) fn ownership_confirmed_since(&self, time: Time) -> bool {
        Time::new(self.ownership_confirmed.load(Ordering::Relaxed)) >= time
    }

    /// Time without a renewal after which another node may claim this node's ownership.
    pub(crate) fn expiry(&self) -> Duration {
        Duration::from_millis(self.expiry.load(Ordering::Relaxed))
    }

    /// Sets the expiry of this node's ownership. A shorter expiry must be set before its record is
    /// written, a longer one only after.
    pub(crate) fn set_expiry(&self, time: Duration) {
        self.expiry
            .store(time.as_millis() as u64, Ordering::Relaxed);
    }

    /// Time since this node's ownership was last confirmed.
    pub(crate) fn ownership_age(&self) -> Duration {
        let confirmed = Time::new(self.ownership_confirmed.load(Ordering::Relaxed));
        self.clock.now().since(confirmed)
    }

    /// Whether this node's ownership was confirmed so recently that no other node can have claimed
    /// it.
    pub(crate) fn holds_ownership(&self) -> bool {
        self.ownership_age() < self.expiry()
    }

    /// Stops claiming the ownership for a while, as this node cannot run the cell.
    pub(crate) fn pause_claims(&self) {
        let until = self.clock.now().after(CLAIM_PAUSE);
        self.claim_pause.store(until.get(), Ordering::Relaxed);
    }

    /// Whether this node currently leaves the ownership to other nodes.
    pub(crate) fn claims_paused(&self) -> bool {
        self.clock.now().get() < self.claim_pause.load(Ordering::Relaxed)
    }

    /// The owner of the cell, as far as this node knows.
    pub(crate) fn believed_owner(&self) -> BelievedOwner {
        let owner = self.owner.load();
        let owner = owner.as_deref();
        BelievedOwner {
            node: owner.map(|o| o.node.to_string()).unwrap_or_default(),
            epoch: owner.map_or(0, |o| o.epoch),
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Time since the stop of this process began; `None` if it has not.
    pub(crate) fn stopping_for(&self) -> Option<Duration> {
        let stop = self.stop.get()?;
        Some(self.clock.now().since(stop.began()))
    }

    /// Time until every request has to be answered because the process exits; `None` if it is not
    /// stopping.
    pub(crate) fn time_left(&self) -> Option<Duration> {
        let stop = self.stop.get()?;
        Some(stop.answers_all().since(self.clock.now()))
    }

    /// Time until idle connections of callers are closed; `None` if the process is not stopping.
    pub(crate) fn idle_time_left(&self) -> Option<Duration> {
        let stop = self.stop.get()?;
        Some(stop.closes_idle().since(self.clock.now()))
    }

    /// Begins the stop of this process. A second stop changes nothing.
    pub(crate) fn begin_stop(&self) -> StopSchedule {
        let grace = self.settings.times.grace.duration();
        *self
            .stop
            .get_or_init(|| StopSchedule::new(self.clock.now(), grace))
    }
}
