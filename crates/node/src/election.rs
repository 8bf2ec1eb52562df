//! Election of the cell's owner.
//!
//! The ownership is a record in the store that its owner keeps renewing. Each write is conditional:
//! it succeeds only if the partition still ends at the offset that the writer last saw, so only one
//! of several concurrent claims wins. The election merely avoids duplicate work. If two nodes
//! consider themselves the owner, the journal's epoch and the workers' fencing tokens keep this
//! safe.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cactuswheel_adapter::{AppendError, KeyedRecord, ReadError};
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

/// Interval between renewals, from one send to the next.
const RENEW_INTERVAL: Duration = Duration::from_millis(220);

/// Interval between reads of the ownership by nodes with less strength than the owner.
///
/// The owner renews its ownership three times a second. If every node read each renewal, these
/// reads would make up two fifths of all calls in a cell of 147 nodes. The weaker nodes would be
/// the last to claim the ownership, so they don't need every renewal.
const WEAKER_READ_INTERVAL: Duration = Duration::from_millis(1_500);

/// Claims are delayed by a random part of this time, so that most nodes see the first claim before
/// they send their own.
const CLAIM_JITTER: Duration = Duration::from_millis(40);

/// Additional claim delay of a node with a strength of one core, in inverse proportion to the
/// strength: weaker nodes wait longer. An owner with an eighth of a core, or on a narrow link,
/// cannot keep up with a fleet of hundreds of workers, while some nodes have four times as much.
const SINGLE_CORE_DELAY: Duration = Duration::from_millis(25);

/// Longest additional claim delay.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(250);

/// Upper limit of the timeout of a call to the store, not counting the transfer time of a large
/// page on the node's link. If one answer is lost, the next renewal is still in time.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);

/// Lower limit of the timeout of a write.
const MIN_STORE_TIMEOUT: Duration = Duration::from_millis(300);

/// How many times the owner's strength a node needs to preempt a live owner.
///
/// Without preemption, a small node that gets the ownership during a rolling restart of the larger
/// ones would keep it, and starts would queue for its processor for the rest of the day. A change
/// of owners takes a few tenths of a second, so it has to bring a clear gain.
const PREEMPTION_RATIO: f64 = 2.0;

/// Time for which a node observes a weaker owner before it preempts it. Nodes that start at the
/// same time elect an owner among themselves within this period.
const OBSERVATION_PERIOD: Duration = Duration::from_millis(1_000);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(80);

/// Key of the ownership record, the only one in its partition.
const RECORD_KEY: &str = "0";

/// Takes part in the election on behalf of this node.
pub(crate) struct Election {
    shared: Arc<Shared>,
    incarnation: u64,
    role: watch::Sender<Role>,
    /// End offset of the partition when it was last read or written.
    end_offset: u64,
    /// The newest record.
    newest: Option<Ownership>,
    owner_clock: OwnerClock,
    /// When this node first saw the epoch of the newest record.
    owner_since: Time,
    claims: Claims,
    /// When this node last sent a record.
    last_sent: Time,
    /// How long this node's last successful write took.
    renewal_time: Duration,
}

impl Election {
    /// Creates a participant that reports this node's part through `role`.
    pub(crate) fn new(shared: Arc<Shared>, incarnation: u64, role: watch::Sender<Role>) -> Self {
        let started = shared.clock.now();
        Self {
            shared,
            incarnation,
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

    /// Takes part in the election until `stop` is set. From then on, releases the ownership and
    /// follows it until the task is dropped.
    pub(crate) async fn run(mut self, mut stop: watch::Receiver<bool>) {
        while !*stop.borrow() {
            match self.read_newest().await {
                Ok(()) => break,
                Err(e) => log::info!(error:% = e; "cannot read the ownership yet; retrying"),
            }
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
        self.stop_cell().await;
        loop {
            self.follow().await;
        }
    }

    /// Stops the cell, which renews leases that must not be renewed once the ownership is released.
    async fn stop_cell(&self) {
        self.role.send_replace(Role::Idle);
        let mut active = self.shared.cell_active.subscribe();
        let stopped = timeout(STORE_TIMEOUT, active.wait_for(|a| !*a)).await;
        if stopped.is_err() {
            log::error!("the cell has not stopped; releasing the ownership all the same");
        }
    }

    /// Releases the ownership if this node holds it, and waits for the next record.
    ///
    /// Callers send requests to a stopping node until it exits, so it has to know each new owner.
    /// It may still find that it won: a claim was under way when the stop began.
    async fn follow(&mut self) {
        if self.is_owner() && !self.release().await {
            sleep(RETRY_PAUSE).await;
            self.resync().await;
            return;
        }
        self.read_records(OBSERVATION_PERIOD).await;
    }

    /// Renews the ownership. If the node has stopped running the cell while it held the ownership,
    /// claims it again instead, or releases it if the node leaves it to others.
    async fn renew_or_release(&mut self) {
        let stopped = self.shared.reclaim.swap(false, Ordering::AcqRel);
        let held = self.newest.as_ref().map_or(0, |o| o.epoch);
        let claim_again = stopped || self.claims.is_open(held);
        match claim_again && self.shared.claims_paused() {
            true => self.relinquish().await,
            false => self.write_record(claim_again).await,
        }
    }

    /// Releases an ownership that this node cannot hold, and tries again later if that fails.
    ///
    /// If the store is unavailable at this moment, the node must not go back to renewing once the
    /// store returns: it would hold the ownership without running the cell, and no other node would
    /// take over. The ownership is not renewed until it has been released, so it expires at the
    /// latest.
    async fn relinquish(&mut self) {
        self.release().await;
        sleep(RETRY_PAUSE).await;
        self.resync().await;
        if self.is_owner() {
            self.shared.reclaim.store(true, Ordering::Release);
        }
    }

    /// Releases the ownership that this node holds, so that another node can claim it before it
    /// expires. Returns whether it is released.
    async fn release(&mut self) -> bool {
        let Some(mut record) = self.newest.clone() else {
            return false;
        };
        record.released = true;
        let epoch = record.epoch;
        let records = [KeyedRecord::new(RECORD_KEY, encode(&record))];
        let store = &self.shared.store;
        let done = store.append(OWNER, None, Some(self.end_offset), &records, STORE_TIMEOUT);
        match done.await {
            Ok(done) => {
                log::info!(epoch = epoch; "ownership released");
                self.end_offset = done.end;
                self.accept_record(record);
                true
            }
            Err(e) => {
                log::warn!(epoch = epoch, error:% = e; "failed to release ownership");
                false
            }
        }
    }

    /// Whether the newest record says that this process owns the cell.
    fn is_owner(&self) -> bool {
        let me = &self.shared.settings.node;
        let last = self.newest.as_ref();
        last.is_some_and(|o| o.node == *me && o.life == self.incarnation && !o.released)
    }

    /// Waits for the next record, and claims the ownership if it was released or expires, or if
    /// this node can preempt the owner.
    async fn watch(&mut self) {
        let now = self.shared.clock.now();
        // An earlier process of this node has certainly ended, so its ownership counts as released.
        let me = &self.shared.settings.node;
        let mut last = self.newest.iter();
        let released = last.all(|o| o.released || (o.node == *me && o.life != self.incarnation));
        let expiry = self
            .newest
            .as_ref()
            .map_or(MIN_EXPIRY, |o| Duration::from_millis(o.expiry));
        let left = expiry.saturating_sub(now.since(self.owner_clock.last_heard()));
        if self.shared.claims_paused() {
            self.read_records(OBSERVATION_PERIOD).await;
            return;
        }
        if released || left.is_zero() || self.can_preempt(now) {
            return self.try_claim().await;
        }
        if !self.read_records(left).await || !self.is_weaker() {
            return;
        }
        // Stronger nodes would claim the ownership before this one, so read less often; a caller
        // on this node that gets no answer from the owner ends the pause early.
        let _ = timeout(
            WEAKER_READ_INTERVAL,
            self.shared.owner_unreachable.notified(),
        )
        .await;
        self.read_records(Duration::ZERO).await;
    }

    /// Reads new records, waiting up to `wait` for one. Returns false if the read failed.
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
                // Time without the store doesn't count towards the expiry. Otherwise, when the
                // store returns after an outage, every node would find the ownership long
                // expired and claim it before its owner can renew it.
                self.owner_clock.skip_outage(self.shared.clock.now());
                sleep(RETRY_PAUSE).await;
                false
            }
        }
    }

    /// Whether this node has less strength than the owner.
    fn is_weaker(&self) -> bool {
        let strength = self.shared.settings.strength();
        self.newest
            .as_ref()
            .is_some_and(|o| strength < o.strength && !o.released)
    }

    /// Whether this node may preempt the owner: the owner has at most half of this node's strength
    /// and was observed for long enough, and this node's configuration is fresh.
    fn can_preempt(&self, now: Time) -> bool {
        let strength = self.shared.settings.strength();
        let weaker = |o: &Ownership| o.strength * PREEMPTION_RATIO <= strength;
        self.newest.as_ref().is_some_and(weaker)
            && now.since(self.owner_since) >= OBSERVATION_PERIOD
            && self.shared.is_config_fresh()
    }

    /// Claims the ownership after a delay, unless another record arrives meanwhile.
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

    /// Claims or renews the ownership, provided that no other record was written since the last
    /// read.
    async fn write_record(&mut self, claim: bool) {
        let settings = &self.shared.settings;
        let epoch = self.newest.as_ref().map_or(0, |o| o.epoch) + u64::from(claim);
        let now = self.shared.clock.now();
        let renewal = if claim {
            Duration::ZERO
        } else {
            self.renewal_time
        };
        let expiry = expiry_for(self.shared.min_expiry, renewal);
        if claim {
            // An owner stops renewing leases before it releases the ownership.
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
            life: self.incarnation,
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
        let records = [KeyedRecord::new(RECORD_KEY, encode(&record))];
        let store = &self.shared.store;
        let sent = self.shared.clock.now();
        self.last_sent = sent;
        let limit = self
            .shared
            .append_rtt
            .retry_timeout()
            .clamp(MIN_STORE_TIMEOUT, STORE_TIMEOUT);
        let limit = limit + page_time(settings.link);
        let done = store.append(OWNER, None, Some(self.end_offset), &records, limit);
        match done.await {
            Ok(done) => {
                self.shared.set_expiry(expiry);
                self.shared.confirm_ownership(sent);
                self.renewal_time = self.shared.clock.now().since(sent);
                self.end_offset = done.end;
                self.accept_record(record);
            }
            Err(AppendError::Refused(_)) => sleep(RETRY_PAUSE).await,
            // Another node has written, or an earlier attempt of this node was applied: read the
            // newest record to find out.
            Err(_) => self.resync().await,
        }
    }

    /// Returns what this node knows of the owner in the newest record.
    fn last_owner(&self) -> Option<LastOwner> {
        let last = self.newest.as_ref()?;
        Some(LastOwner {
            life: last.life,
            clock: Time::new(last.clock),
            last_heard: self.owner_clock.last_heard(),
            first_heard: self.owner_since,
        })
    }

    /// Reads the newest record; on failure pauses, and excludes the outage from the expiry.
    async fn resync(&mut self) {
        if let Err(e) = self.read_newest().await {
            log::debug!(error:% = e; "cannot read the ownership; retrying");
            self.owner_clock.skip_outage(self.shared.clock.now());
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads the newest record and the partition's end offset.
    async fn read_newest(&mut self) -> Result<(), ReadError> {
        let page = self.shared.store.newest(OWNER, None, STORE_TIMEOUT).await?;
        self.end_offset = page.end;
        for item in page.items {
            match decode::<Ownership>(&item.value) {
                Ok(record) => self.accept_record(record),
                Err(e) => log::error!(error:% = e; "cannot decode the ownership record"),
            }
        }
        Ok(())
    }

    /// Decodes a record and accepts it.
    fn decode_record(&mut self, record: &bytes::Bytes) {
        let value = KeyedRecord::parse(record).and_then(|r| r.value);
        match value.map(|v| decode::<Ownership>(&v)) {
            Some(Ok(record)) => self.accept_record(record),
            other => log::error!(record:? = other; "cannot decode the ownership record"),
        }
    }

    /// Makes a record the newest one unless its epoch is older, and updates the known owner and
    /// this node's role.
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
            log::info!(owner:% = record.node, epoch = record.epoch; "new owner of the cell");
        }
        let address = OwnerAddress {
            node: record.node.clone(),
            addr: record.addr,
            epoch: record.epoch,
        };
        let address = (!record.released).then(|| Arc::new(address));
        self.shared.owner.store(address);
        self.newest = Some(record);
        let role = match (self.is_owner(), &self.newest) {
            (true, Some(o)) if !self.shared.is_stopping() => {
                let claimed = self.claims.for_epoch(o.epoch);
                Role::Owner {
                    epoch: o.epoch,
                    alone: claimed.is_some_and(|c| c.exclusive),
                    before: claimed.and_then(|c| c.predecessor),
                }
            }
            _ => Role::Idle,
        };
        self.role.send_if_modified(|previous| {
            let changed = *previous != role;
            *previous = role;
            changed
        });
    }
}
