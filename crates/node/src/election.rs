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
use crate::expiry::{EXPIRY, expiry_for, page_time};
use crate::owner_clock::OwnerClock;
use crate::ownership::Ownership;
use crate::peer::OwnerAt;
use crate::role::Role;
use crate::shared::Shared;
use crate::topics::OWNER;

/// Time between renewals, from sending to sending.
const RENEW_INTERVAL: Duration = Duration::from_millis(220);

/// Time between two reads of the ownership by nodes that are weaker than the owner.
///
/// Failure: the owner renews its ownership three times a second, and each renewal costs a call
/// of every node: with 147 nodes two fifths of all calls. Those that would claim it last need not
/// know of each.
const WEAKER_READ_INTERVAL: Duration = Duration::from_millis(1_500);

/// Claims are spread over this time, so that most of them see the first one's.
const CLAIM_JITTER: Duration = Duration::from_millis(40);

/// Further wait of a node with a strength of one core; a weaker one waits for longer in proportion.
/// An owner with an eighth of a core, or on a narrow link, cannot keep up with a fleet of hundreds
/// of workers, and some nodes have four times as much.
const SINGLE_CORE_DELAY: Duration = Duration::from_millis(25);

/// Longest such wait.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(250);

/// Longest time for an answer of the store, beside what a large page takes on the link. With one
/// answer lost the next renewal still comes in time.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);

/// Shortest such time.
const MIN_STORE_TIMEOUT: Duration = Duration::from_millis(300);

/// Times as much strength as the owner that a node has to have to take the ownership from it.
///
/// Failure: while the larger nodes are restarted in turn a small one owns the cell, and keeps it;
/// starts wait for its processor for the rest of the day. A change of owners takes a few tenths
/// of a second, so it has to be worth it.
const PREEMPTION_RATIO: f64 = 2.0;

/// Time for which a node watches a weaker owner before it takes the ownership from it. Nodes that
/// start together settle who is first within it.
const OBSERVATION_PERIOD: Duration = Duration::from_millis(1_000);

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(80);

/// Key of the one record.
const RECORD_KEY: &str = "0";

/// Takes part in the ownership.
pub(crate) struct Election {
    shared: Arc<Shared>,
    life: u64,
    role: watch::Sender<Role>,
    /// Offset at which the partition ended when it was last seen.
    end_offset: u64,
    newest: Option<Ownership>,
    owner_clock: OwnerClock,
    /// When the record's owner was first heard of.
    owner_since: Time,
    claims: Claims,
    /// When this node's last record was sent.
    last_sent: Time,
    /// Time that the last renewal took.
    renewal_time: Duration,
}

impl Election {
    pub(crate) fn new(shared: Arc<Shared>, life: u64, role: watch::Sender<Role>) -> Self {
        let started = shared.clock.now();
        Self {
            shared,
            life,
            role,
            end_offset: 0,
            newest: None,
            owner_clock: OwnerClock::new(started),
            owner_since: started,
            claims: Claims::default(),
            last_sent: started,
            renewal_time: Duration::ZERO,
        }
    }

    /// Takes part until `stop` is set; then gives the ownership up, if it is here.
    pub(crate) async fn run(mut self, mut stop: watch::Receiver<bool>) {
        while let Err(e) = self.read_newest().await {
            log::info!(error:% = e; "ownership cannot be read yet");
            sleep(RETRY_PAUSE).await;
        }
        while !*stop.borrow() {
            match self.is_owner() {
                true => {
                    let passed = self.shared.clock.now().since(self.last_sent);
                    let left = RENEW_INTERVAL.saturating_sub(passed);
                    let _ = timeout(left, stop.wait_for(|s| *s)).await;
                    if !*stop.borrow() {
                        self.renew_or_release().await;
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
    async fn renew_or_release(&mut self) {
        let anew = self.shared.reclaim.swap(false, Ordering::AcqRel);
        match anew && self.shared.declines() {
            true => self.relinquish().await,
            false => self.write_record(anew).await,
        }
    }

    /// Gives an ownership up that this node cannot hold.
    ///
    /// Failure: the store is away just then, the ownership is renewed after its return by a node
    /// that runs no cell, and nobody takes it over. Until it is given up it is not renewed, so
    /// that it lapses at the latest.
    async fn relinquish(&mut self) {
        if let Some(last) = &self.newest {
            Self::release(&self.shared, last.epoch, self.life).await;
        }
        sleep(RETRY_PAUSE).await;
        self.resync().await;
        if self.is_owner() {
            self.shared.reclaim.store(true, Ordering::Release);
        }
    }

    /// Gives the ownership up, so that another node takes it without waiting for its expiry.
    pub(crate) async fn release(shared: &Shared, epoch: u64, life: u64) {
        let Ok(page) = shared.store.newest(OWNER, None, STORE_TIMEOUT).await else {
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
        let records = [Keyed::new(RECORD_KEY, encode(&record))];
        let done = shared
            .store
            .append(OWNER, None, Some(page.end), &records, STORE_TIMEOUT);
        match done.await {
            Ok(_) => log::info!(epoch = epoch; "ownership released"),
            Err(e) => log::warn!(epoch = epoch, error:% = e; "ownership not released"),
        }
    }

    fn is_owner(&self) -> bool {
        let me = &self.shared.settings.node;
        let last = self.newest.as_ref();
        last.is_some_and(|o| o.node == *me && o.life == self.life && !o.released)
    }

    /// Waits for a record, and claims the ownership when none comes.
    async fn watch(&mut self) {
        let now = self.shared.clock.now();
        // An earlier life of this node is gone for sure.
        let me = &self.shared.settings.node;
        let mut last = self.newest.iter();
        let released = last.all(|o| o.released || (o.node == *me && o.life != self.life));
        let expiry = self
            .newest
            .as_ref()
            .map_or(EXPIRY, |o| Duration::from_millis(o.expiry));
        let left = expiry.saturating_sub(now.since(self.owner_clock.last_heard()));
        if self.shared.declines() {
            self.read_records(OBSERVATION_PERIOD).await;
            return;
        }
        if released || left.is_zero() || self.can_preempt(now) {
            return self.try_claim().await;
        }
        if !self.read_records(left).await || !self.is_weaker() {
            return;
        }
        // Others claim it before this node does; whoever misses the owner asks sooner.
        let _ = timeout(WEAKER_READ_INTERVAL, self.shared.missed.notified()).await;
        self.read_records(Duration::ZERO).await;
    }

    /// Reads what is new of the ownership; waits up to `wait` for it. True if that worked.
    async fn read_records(&mut self, wait: Duration) -> bool {
        let limit = STORE_TIMEOUT + page_time(self.shared.settings.link);
        let read = self
            .shared
            .store
            .read(OWNER, self.end_offset, wait, limit)
            .await;
        match read {
            Ok(page) => {
                for record in &page.records {
                    self.decode_record(record);
                }
                self.end_offset = page.from + page.records.len() as u64;
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
                self.owner_clock.skip_outage(self.shared.clock.now());
                sleep(RETRY_PAUSE).await;
                false
            }
        }
    }

    /// Whether this node is weaker than the owner.
    fn is_weaker(&self) -> bool {
        let strength = self.shared.settings.strength();
        self.newest
            .as_ref()
            .is_some_and(|o| strength < o.strength && !o.released)
    }

    /// Whether the owner is so much weaker than this node that a change pays.
    fn can_preempt(&self, now: Time) -> bool {
        let strength = self.shared.settings.strength();
        let weaker = |o: &Ownership| o.strength * PREEMPTION_RATIO <= strength;
        self.newest.as_ref().is_some_and(weaker)
            && now.since(self.owner_since) >= OBSERVATION_PERIOD
            && self.shared.is_fresh()
    }

    async fn try_claim(&mut self) {
        let wait = CLAIM_JITTER.mul_f64(rand::rng().random_range(0.0..1.0))
            + SINGLE_CORE_DELAY
                .div_f64(self.shared.settings.strength())
                .min(MAX_CLAIM_DELAY);
        let read = self
            .shared
            .store
            .read(OWNER, self.end_offset, wait, STORE_TIMEOUT);
        match read.await {
            Ok(page) if page.records.is_empty() => self.write_record(true).await,
            Ok(page) => {
                for record in &page.records {
                    self.decode_record(record);
                }
                self.end_offset = page.from + page.records.len() as u64;
            }
            Err(_) => self.resync().await,
        }
    }

    /// Claims or renews the ownership, if nobody else has written since.
    async fn write_record(&mut self, claim: bool) {
        let settings = &self.shared.settings;
        let epoch = self.newest.as_ref().map_or(0, |o| o.epoch) + u64::from(claim);
        let now = self.shared.clock.now();
        let renewal = if claim {
            Duration::ZERO
        } else {
            self.renewal_time
        };
        let expiry = expiry_for(self.shared.least_expiry, renewal);
        if claim {
            // Who gives the ownership up has stopped renewing leases before.
            let exclusive = self.newest.as_ref().is_none_or(|o| o.released && o.settled);
            self.claims.track(Claim {
                epoch,
                sent_at: now,
                exclusive,
                predecessor: self.last_owner(),
            });
        }
        let claimed = self.claims.for_epoch(epoch);
        let exclusive = claimed.is_some_and(|c| c.exclusive);
        let since = claimed.map_or(now, |c| c.sent_at);
        let record = Ownership {
            epoch,
            node: settings.node.clone(),
            life: self.life,
            addr: settings.listen.peers,
            strength: settings.strength(),
            clock: now.get(),
            released: false,
            settled: exclusive || now.since(since) >= RENEW_WITHOUT_STORE,
            expiry: expiry.as_millis() as u64,
        };
        if expiry < self.shared.expiry() {
            self.shared.set_expiry(expiry);
        }
        let records = [Keyed::new(RECORD_KEY, encode(&record))];
        let store = &self.shared.store;
        let sent = self.shared.clock.now();
        self.last_sent = sent;
        let limit = self
            .shared
            .rtt
            .limit()
            .clamp(MIN_STORE_TIMEOUT, STORE_TIMEOUT);
        let limit = limit + page_time(settings.link);
        let done = store.append(OWNER, None, Some(self.end_offset), &records, limit);
        match done.await {
            Ok(done) => {
                self.shared.set_expiry(expiry);
                self.shared.confirm_lead(sent);
                self.renewal_time = self.shared.clock.now().since(sent);
                self.end_offset = done.end;
                self.accept_record(record);
            }
            Err(AppendError::Refused(_)) => sleep(RETRY_PAUSE).await,
            // Somebody else wrote, or an earlier try of ours was done: the newest record tells.
            Err(_) => self.resync().await,
        }
    }

    fn last_owner(&self) -> Option<LastOwner> {
        let last = self.newest.as_ref()?;
        Some(LastOwner {
            life: last.life,
            clock: Time::new(last.clock),
            heard: self.owner_clock.last_heard(),
            since: self.owner_since,
        })
    }

    async fn resync(&mut self) {
        if let Err(e) = self.read_newest().await {
            log::debug!(error:% = e; "ownership cannot be read");
            self.owner_clock.skip_outage(self.shared.clock.now());
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn read_newest(&mut self) -> Result<(), ReadError> {
        let page = self.shared.store.newest(OWNER, None, STORE_TIMEOUT).await?;
        self.end_offset = page.end;
        for item in page.items {
            match decode::<Ownership>(&item.value) {
                Ok(record) => self.accept_record(record),
                Err(e) => log::error!(error:% = e; "ownership record cannot be read"),
            }
        }
        Ok(())
    }

    fn decode_record(&mut self, record: &bytes::Bytes) {
        let value = Keyed::read(record).and_then(|r| r.value);
        match value.map(|v| decode::<Ownership>(&v)) {
            Some(Ok(record)) => self.accept_record(record),
            other => log::error!(record:? = other; "ownership record cannot be read"),
        }
    }

    fn accept_record(&mut self, record: Ownership) {
        if self.newest.as_ref().is_some_and(|o| o.epoch > record.epoch) {
            return;
        }
        let changed = self.newest.as_ref().map(|o| o.epoch) != Some(record.epoch);
        if changed {
            self.owner_clock.reset_offset();
        }
        if self.newest.as_ref() != Some(&record) {
            self.owner_clock
                .observe(self.shared.clock.now(), record.clock);
        }
        if changed {
            self.owner_since = self.shared.clock.now();
            log::info!(owner:% = record.node, epoch = record.epoch; "owner known");
        }
        let at = OwnerAt {
            node: record.node.clone(),
            addr: record.addr,
            epoch: record.epoch,
        };
        let at = (!record.released).then(|| Arc::new(at));
        self.shared.owner.store(at);
        self.newest = Some(record);
        let role = match (self.is_owner(), &self.newest) {
            (true, Some(o)) => {
                let claimed = self.claims.for_epoch(o.epoch);
                Role::Owner {
                    epoch: o.epoch,
                    alone: claimed.is_some_and(|c| c.exclusive),
                    before: claimed.and_then(|c| c.predecessor),
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
