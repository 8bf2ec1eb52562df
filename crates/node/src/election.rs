//! Who owns the cell.
//!
//! Ownership is a record that is renewed under a condition: each write has to find the partition
//! ending where its writer last saw it end, so of several claims one wins. It only saves work:
//! that two owners do no harm rests on the journal's epoch and the workers' fencing tokens.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cactuswheel_adapter::{AppendError, Keyed, ReadError};
use cactuswheel_capacity::LastOwner;
use cactuswheel_cell::{RENEW_WITHOUT_STORE, decode, encode};
use cactuswheel_model::Time;
use rand::Rng;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::claim::{Claim, Claims};
use crate::expiry::{MIN_EXPIRY, expiry_for, page_time};
use crate::owner_clock::OwnerClock;
use crate::ownership::Ownership;
use crate::peer::OwnerAddress;
use crate::role::Role;
use crate::shared::Shared;
use crate::topics::OWNER;

/// Time between renewals, from sending to sending.
const RENEW: Duration = Duration::from_millis(220);

/// Time between two reads of the ownership by nodes that are weaker than the owner.
///
/// Failure: the owner renews its ownership three times a second, and each renewal costs a call
/// of every node: with 147 nodes two fifths of all calls. Those that would claim it last need not
/// know of each.
const WEAKER_PAUSE: Duration = Duration::from_millis(1_500);

/// Claims are spread over this time, so that most of them see the first one's.
const CLAIM_JITTER: Duration = Duration::from_millis(40);

/// Further wait of a node with a strength of one core; a weaker one waits for longer in proportion.
/// An owner with an eighth of a core, or on a narrow link, cannot keep up with a fleet of hundreds
/// of workers, and some nodes have four times as much.
const CORE_DELAY: Duration = Duration::from_millis(25);

/// Longest such wait.
const MAX_DELAY: Duration = Duration::from_millis(250);

/// Longest time for an answer of the store, beside what a large page takes on the link. With one
/// answer lost the next renewal still comes in time.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Shortest such time.
const MIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Times as much strength as the owner that a node has to have to take the ownership from it.
///
/// Failure: while the larger nodes are restarted in turn a small one owns the cell, and keeps it;
/// starts wait for its processor for the rest of the day. A change of owners takes a few tenths
/// of a second, so it has to be worth it.
const STRONGER: f64 = 2.0;

/// Time for which a node watches a weaker owner before it takes the ownership from it. Nodes that
/// start together settle who is first within it.
const WATCHED: Duration = Duration::from_millis(1_000);

/// Pause after a call that failed.
const RETRY: Duration = Duration::from_millis(80);

/// Key of the one record.
const KEY: &str = "0";

/// Takes part in the ownership.
pub(crate) struct Lead {
    shared: Arc<Shared>,
    life: u64,
    role: watch::Sender<Role>,
    /// Offset at which the partition ended when it was last seen.
    end: u64,
    last: Option<Ownership>,
    owner_clock: OwnerClock,
    /// When the record's owner was first heard of.
    since: Time,
    claims: Claims,
    /// When this node's last record was sent.
    sent: Time,
    /// Time that the last renewal took.
    took: Duration,
}

impl Lead {
    pub(crate) fn new(shared: Arc<Shared>, life: u64, role: watch::Sender<Role>) -> Self {
        let heard = shared.clock.now();
        Self {
            shared,
            life,
            role,
            end: 0,
            last: None,
            owner_clock: OwnerClock::new(heard),
            since: heard,
            claims: Claims::default(),
            sent: heard,
            took: Duration::ZERO,
        }
    }

    /// Takes part until `stop` is set; then gives the ownership up, if it is here.
    pub(crate) async fn run(mut self, mut stop: watch::Receiver<bool>) {
        while let Err(e) = self.sync().await {
            log::info!(error:% = e; "ownership cannot be read yet");
            sleep(RETRY).await;
        }
        while !*stop.borrow() {
            match self.is_mine() {
                true => {
                    let passed = self.shared.clock.now().since(self.sent);
                    let left = RENEW.saturating_sub(passed);
                    let _ = timeout(left, stop.wait_for(|s| *s)).await;
                    if !*stop.borrow() {
                        self.hold().await;
                    }
                }
                false => {
                    tokio::select! {
                        () = self.watch() => {}
                        _ = stop.wait_for(|s| *s) => {}
                    }
                }
            }
        }
    }

    /// Renews the ownership, claims it anew if the cell was given up while it was held, or gives
    /// it up if this node cannot hold it.
    async fn hold(&mut self) {
        let anew = self.shared.reclaim.swap(false, Ordering::AcqRel);
        match anew && self.shared.claims_paused() {
            true => self.give_up().await,
            false => self.write(anew).await,
        }
    }

    /// Gives an ownership up that this node cannot hold.
    ///
    /// Failure: the store is away just then, the ownership is renewed after its return by a node
    /// that runs no cell, and nobody takes it over. Until it is given up it is not renewed, so
    /// that it lapses at the latest.
    async fn give_up(&mut self) {
        if let Some(last) = &self.last {
            Self::release(&self.shared, last.epoch, self.life).await;
        }
        sleep(RETRY).await;
        self.resync().await;
        if self.is_mine() {
            self.shared.reclaim.store(true, Ordering::Release);
        }
    }

    /// Gives the ownership up, so that another node takes it without waiting for its expiry.
    pub(crate) async fn release(shared: &Shared, epoch: u64, life: u64) {
        let Ok(page) = shared.store.newest(OWNER, None, TIMEOUT).await else {
            return;
        };
        let last = page
            .items
            .iter()
            .find_map(|i| decode::<Ownership>(&i.value).ok());
        let mine = last.filter(|o| o.epoch == epoch && o.life == life);
        let Some(mut record) = mine else {
            return;
        };
        record.released = true;
        let records = [Keyed::new(KEY, encode(&record))];
        let done = shared
            .store
            .append(OWNER, None, Some(page.end), &records, TIMEOUT);
        match done.await {
            Ok(_) => log::info!(epoch = epoch; "ownership released"),
            Err(e) => log::warn!(epoch = epoch, error:% = e; "ownership not released"),
        }
    }

    fn is_mine(&self) -> bool {
        let me = &self.shared.settings.node;
        let last = self.last.as_ref();
        last.is_some_and(|o| o.node == *me && o.life == self.life && !o.released)
    }

    /// Waits for a record, and claims the ownership when none comes.
    async fn watch(&mut self) {
        let now = self.shared.clock.now();
        // An earlier life of this node is gone for sure.
        let me = &self.shared.settings.node;
        let mut last = self.last.iter();
        let released = last.all(|o| o.released || (o.node == *me && o.life != self.life));
        let expiry = self
            .last
            .as_ref()
            .map_or(MIN_EXPIRY, |o| Duration::from_millis(o.expiry));
        let left = expiry.saturating_sub(now.since(self.owner_clock.at()));
        if self.shared.claims_paused() {
            self.read(WATCHED).await;
            return;
        }
        if released || left.is_zero() || self.outranks(now) {
            return self.claim().await;
        }
        if !self.read(left).await || !self.is_weaker() {
            return;
        }
        // Others claim it before this node does; whoever misses the owner asks sooner.
        let _ = timeout(WEAKER_PAUSE, self.shared.owner_unreachable.notified()).await;
        self.read(Duration::ZERO).await;
    }

    /// Reads what is new of the ownership; waits up to `wait` for it. True if that worked.
    async fn read(&mut self, wait: Duration) -> bool {
        let limit = TIMEOUT + page_time(self.shared.settings.link);
        let read = self.shared.store.read(OWNER, self.end, wait, limit).await;
        match read {
            Ok(page) => {
                for record in &page.records {
                    self.take(record);
                }
                self.end = page.from + page.records.len() as u64;
                true
            }
            Err(ReadError::Deleted) => {
                self.resync().await;
                false
            }
            Err(ReadError::Failed(_)) => {
                // Failure: the store is back after an outage, every node finds the ownership
                // long expired and claims it before its owner can renew. Time without the
                // store does not count.
                self.owner_clock.wait(self.shared.clock.now());
                sleep(RETRY).await;
                false
            }
        }
    }

    /// Whether this node is weaker than the owner.
    fn is_weaker(&self) -> bool {
        let strength = self.shared.settings.strength();
        self.last
            .as_ref()
            .is_some_and(|o| strength < o.strength && !o.released)
    }

    /// Whether the owner is so much weaker than this node that a change pays.
    fn outranks(&self, now: Time) -> bool {
        let strength = self.shared.settings.strength();
        let weaker = |o: &Ownership| o.strength * STRONGER <= strength;
        self.last.as_ref().is_some_and(weaker)
            && now.since(self.since) >= WATCHED
            && self.shared.is_config_fresh()
    }

    async fn claim(&mut self) {
        let wait = CLAIM_JITTER.mul_f64(rand::rng().random_range(0.0..1.0))
            + CORE_DELAY
                .div_f64(self.shared.settings.strength())
                .min(MAX_DELAY);
        let read = self.shared.store.read(OWNER, self.end, wait, TIMEOUT);
        match read.await {
            Ok(page) if page.records.is_empty() => self.write(true).await,
            Ok(page) => {
                for record in &page.records {
                    self.take(record);
                }
                self.end = page.from + page.records.len() as u64;
            }
            Err(_) => self.resync().await,
        }
    }

    /// Claims or renews the ownership, if nobody else has written since.
    async fn write(&mut self, claim: bool) {
        let settings = &self.shared.settings;
        let epoch = self.last.as_ref().map_or(0, |o| o.epoch) + u64::from(claim);
        let now = self.shared.clock.now();
        let renewal = if claim { Duration::ZERO } else { self.took };
        let expiry = expiry_for(self.shared.min_expiry, renewal);
        if claim {
            // Who gives the ownership up has stopped renewing leases before.
            let alone = self.last.as_ref().is_none_or(|o| o.released && o.settled);
            self.claims.send(Claim {
                epoch,
                at: now,
                alone,
                before: self.last_owner(),
            });
        }
        let claimed = self.claims.won(epoch);
        let alone = claimed.is_some_and(|c| c.alone);
        let since = claimed.map_or(now, |c| c.at);
        let record = Ownership {
            epoch,
            node: settings.node.clone(),
            life: self.life,
            addr: settings.listen.peers,
            strength: settings.strength(),
            clock: now.get(),
            released: false,
            settled: alone || now.since(since) >= RENEW_WITHOUT_STORE,
            expiry: expiry.as_millis() as u64,
        };
        if expiry < self.shared.expiry() {
            self.shared.set_expiry(expiry);
        }
        let records = [Keyed::new(KEY, encode(&record))];
        let store = &self.shared.store;
        let sent = self.shared.clock.now();
        self.sent = sent;
        let limit = self
            .shared
            .append_rtt
            .retry_timeout()
            .clamp(MIN_TIMEOUT, TIMEOUT);
        let limit = limit + page_time(settings.link);
        let done = store.append(OWNER, None, Some(self.end), &records, limit);
        match done.await {
            Ok(done) => {
                self.shared.set_expiry(expiry);
                self.shared.confirm_ownership(sent);
                self.took = self.shared.clock.now().since(sent);
                self.end = done.end;
                self.accept(record);
            }
            Err(AppendError::Refused(_)) => sleep(RETRY).await,
            // Somebody else wrote, or an earlier try of ours was done: the newest record tells.
            Err(_) => self.resync().await,
        }
    }

    fn last_owner(&self) -> Option<LastOwner> {
        let last = self.last.as_ref()?;
        Some(LastOwner {
            life: last.life,
            clock: Time::new(last.clock),
            last_heard: self.owner_clock.at(),
            first_heard: self.since,
        })
    }

    async fn resync(&mut self) {
        if let Err(e) = self.sync().await {
            log::debug!(error:% = e; "ownership cannot be read");
            self.owner_clock.wait(self.shared.clock.now());
            sleep(RETRY).await;
        }
    }

    async fn sync(&mut self) -> Result<(), ReadError> {
        let page = self.shared.store.newest(OWNER, None, TIMEOUT).await?;
        self.end = page.end;
        for item in page.items {
            match decode::<Ownership>(&item.value) {
                Ok(record) => self.accept(record),
                Err(e) => log::error!(error:% = e; "ownership record cannot be read"),
            }
        }
        Ok(())
    }

    fn take(&mut self, record: &bytes::Bytes) {
        let value = Keyed::read(record).and_then(|r| r.value);
        match value.map(|v| decode::<Ownership>(&v)) {
            Some(Ok(record)) => self.accept(record),
            other => log::error!(record:? = other; "ownership record cannot be read"),
        }
    }

    fn accept(&mut self, record: Ownership) {
        if self.last.as_ref().is_some_and(|o| o.epoch > record.epoch) {
            return;
        }
        let changed = self.last.as_ref().map(|o| o.epoch) != Some(record.epoch);
        if changed {
            self.owner_clock.change();
        }
        if self.last.as_ref() != Some(&record) {
            self.owner_clock
                .observe(self.shared.clock.now(), record.clock);
        }
        if changed {
            self.since = self.shared.clock.now();
            log::info!(owner:% = record.node, epoch = record.epoch; "owner known");
        }
        let at = OwnerAddress {
            node: record.node.clone(),
            addr: record.addr,
            epoch: record.epoch,
        };
        let at = (!record.released).then(|| Arc::new(at));
        self.shared.owner.store(at);
        self.last = Some(record);
        let role = match (self.is_mine(), &self.last) {
            (true, Some(o)) => {
                let claimed = self.claims.won(o.epoch);
                Role::Owner {
                    epoch: o.epoch,
                    alone: claimed.is_some_and(|c| c.alone),
                    before: claimed.and_then(|c| c.before),
                }
            }
            _ => Role::Idle,
        };
        self.role.send_if_modified(|before| {
            let changed = *before != role;
            *before = role;
            changed
        });
    }
}
