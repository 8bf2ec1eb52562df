//! What the parts of a node share. Beliefs on the way of a request are read without a lock.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use cactuswheel_adapter::Store;
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
use crate::peer::{OwnerAddress, PeerLink};
use crate::settings::Settings;

/// What the parts of a node share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    /// Tells this life of the node from others.
    pub(crate) life: u64,
    pub(crate) clock: Clock,
    pub(crate) store: Store,
    /// The record of orders to instances.
    pub(crate) orders: OrderLog,
    /// How long the store's answers to appends take.
    pub(crate) append_rtt: RttEstimator,
    pub(crate) metrics: Metrics,
    /// The newest configuration; `None` until the first was read.
    pub(crate) config: ArcSwapOption<FleetConfig>,
    /// Waves of maintenance that the operators ask for.
    pub(crate) waves: ArcSwapOption<Vec<Wave>>,
    /// Data centres that the operators evacuate.
    pub(crate) evacuated: ArcSwap<Set<ZoneName>>,
    /// When the read was sent that last confirmed the configuration.
    config_confirmed: AtomicU64,
    store_health: CallHealth,
    /// Where the cell's owner is, as far as the store has told.
    pub(crate) owner: ArcSwapOption<OwnerAddress>,
    /// The connection to the owner.
    pub(crate) owner_link: ArcSwapOption<PeerLink>,
    /// How long the owner takes to accept a job.
    pub(crate) accept_rtt: RttEstimator,
    /// A connection to the owner is being made.
    pub(crate) connecting: AtomicBool,
    /// The cell's owner, while it is this node.
    pub(crate) local_owner: ArcSwapOption<OwnerHandle>,
    /// Whether an owner answers when this node hands jobs in.
    pub(crate) owner_health: CallHealth,
    /// How long jobs wait, as the owner has told last.
    pub(crate) overload: Overload,
    /// What jobs run, as this node has accepted or relayed them.
    specs: Mutex<SpecCache>,
    /// Least time without a renewal after which an ownership of this node may be claimed.
    pub(crate) min_expiry: Duration,
    /// That time as this node's newest record has it, in milliseconds.
    expiry: AtomicU64,
    /// The owner that is known does not answer: there may be another one.
    pub(crate) owner_unreachable: Notify,
    /// When the write was sent that last confirmed this node's ownership.
    ownership_confirmed: AtomicU64,
    /// Until then this node leaves the ownership to others.
    claim_pause: AtomicU64,
    /// The ownership has to be claimed anew: the cell was given up while it was held.
    pub(crate) reclaim: AtomicBool,
    stopping: AtomicBool,
}

/// Part of the revocation bound after which a configuration that was not confirmed is stale:
/// the rest covers the way from the check to the worker and the rounding of clocks.
const MAX_CONFIG_AGE_SHARE: f64 = 0.8;

/// Time for which a node that could not take the cell over leaves it to others: each of a few
/// hundred nodes has its turn in it.
const CLAIM_PAUSE: Duration = Duration::from_secs(10);

/// Shortest wait for the answer to an append before it is tried again beside. An append takes
/// some ten milliseconds; a node that has used its processor up stands still for a tenth of a
/// second.
const MIN_APPEND_TIMEOUT: Duration = Duration::from_millis(200);

/// Shortest and longest wait for the owner to accept a job before its front stores it by itself.
const MIN_ACCEPT_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_ACCEPT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest such wait, for a store that takes most of a second.
const MAX_APPEND_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Bytes of what jobs run that a node keeps.
const SPEC_CACHE_BYTES: usize = 4 << 20;

impl Shared {
    pub(crate) fn new(settings: Settings, life: u64, metrics: Metrics) -> Self {
        Self {
            store: Store::new(settings.store),
            orders: OrderLog::new(settings.parts),
            append_rtt: RttEstimator::new(MIN_APPEND_TIMEOUT, MAX_APPEND_TIMEOUT),
            min_expiry: min_expiry_for(settings.link),
            expiry: AtomicU64::new(min_expiry_for(settings.link).as_millis() as u64),
            owner_unreachable: Notify::new(),
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
            owner_health: CallHealth::default(),
            overload: Overload::default(),
            specs: Mutex::new(SpecCache::new(SPEC_CACHE_BYTES)),
            ownership_confirmed: AtomicU64::new(0),
            claim_pause: AtomicU64::new(0),
            reclaim: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        }
    }

    /// What jobs run, as this node has accepted or relayed them.
    pub(crate) fn specs(&self) -> MutexGuard<'_, SpecCache> {
        self.specs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration was confirmed by a read that was sent at `sent`.
    pub(crate) fn confirm_config(&self, sent: Time) {
        self.config_confirmed
            .fetch_max(sent.get(), Ordering::Relaxed);
    }

    /// Age of the configuration's last confirmation, in milliseconds.
    pub(crate) fn config_age(&self) -> u64 {
        let confirmed = Time::new(self.config_confirmed.load(Ordering::Relaxed));
        self.clock.now().since(confirmed).as_millis() as u64
    }

    /// Whether no key can have been withdrawn too long ago without this node knowing.
    pub(crate) fn is_config_fresh(&self) -> bool {
        let bound = self.settings.times.revoke.get() as f64 * MAX_CONFIG_AGE_SHARE;
        self.config.load().is_some() && (self.config_age() as f64) < bound
    }

    /// A call to the store has failed.
    pub(crate) fn store_failed(&self) {
        if self.store_health.failed(self.clock.now()) {
            log::warn!(config_age_ms = self.config_age(); "store does not answer");
        }
    }

    /// The store has answered.
    pub(crate) fn store_answered(&self) {
        if let Some(time) = self.store_health.answered(self.clock.now()) {
            log::info!(ms = time.as_millis() as u64; "store answers again");
        }
    }

    /// Whether new callers are welcome.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_config_fresh()
            && !self.store_health.is_unreachable(self.clock.now())
            && !self.is_stopping()
    }

    /// This node's ownership was confirmed by a write that was sent at `sent`.
    pub(crate) fn confirm_ownership(&self, sent: Time) {
        self.ownership_confirmed
            .fetch_max(sent.get(), Ordering::Relaxed);
    }

    /// Whether that was confirmed by a write that was sent after `time`.
    pub(crate) fn ownership_confirmed_since(&self, time: Time) -> bool {
        Time::new(self.ownership_confirmed.load(Ordering::Relaxed)) >= time
    }

    /// Time without a renewal after which an ownership of this node may be claimed.
    pub(crate) fn expiry(&self) -> Duration {
        Duration::from_millis(self.expiry.load(Ordering::Relaxed))
    }

    /// Another time goes on record: a shorter one before it is written, a longer one after.
    pub(crate) fn set_expiry(&self, time: Duration) {
        self.expiry
            .store(time.as_millis() as u64, Ordering::Relaxed);
    }

    /// Age of that confirmation.
    pub(crate) fn ownership_age(&self) -> Duration {
        let confirmed = Time::new(self.ownership_confirmed.load(Ordering::Relaxed));
        self.clock.now().since(confirmed)
    }

    /// Whether this node's ownership was confirmed so lately that nobody else can have claimed it.
    pub(crate) fn holds_ownership(&self) -> bool {
        self.ownership_age() < self.expiry()
    }

    /// Leaves the ownership to others for a while: this node cannot hold it.
    pub(crate) fn pause_claims(&self) {
        let until = self.clock.now().after(CLAIM_PAUSE);
        self.claim_pause.store(until.get(), Ordering::Relaxed);
    }

    /// Whether this node leaves the ownership to others.
    pub(crate) fn claims_paused(&self) -> bool {
        self.clock.now().get() < self.claim_pause.load(Ordering::Relaxed)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}
