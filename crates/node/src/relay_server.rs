//! The relay's side: offers to relay orders for an owner on another node, sends the orders to
//! workers, and reports their outcomes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_relay::{Capacity, DeltaEncoder, Offer, Reply, SpecDigest};
use rand::Rng;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::order_sender::{OrderSender, OrderSink};
use crate::peer::PeerLink;
use crate::relay_request::{IncompleteOrder, Order, RelayRequest, Report, Reports};
use crate::shared::Shared;
use crate::spec_fetcher::SpecFetcher;

/// Interval between heartbeats of a relay.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Upper limit of the interval between offers of a node whose last offer was declined. The actual
/// interval is drawn at random from half of this up to all of it.
const OFFER_INTERVAL: Duration = Duration::from_millis(4_000);

/// Delay of the first offer of a node with one core, in inverse proportion to the cores, so that
/// nodes with more capacity offer first.
const SINGLE_CORE_DELAY: Duration = Duration::from_millis(50);

/// Longest delay of the first offer.
const MAX_OFFER_DELAY: Duration = Duration::from_millis(800);

/// Timeout of a call to the owner. Reports get the queueing time on the link in addition.
const OWNER_TIMEOUT: Duration = Duration::from_millis(600);

/// Capacity of the queue of reports.
const QUEUE_CAPACITY: usize = 4_096;

/// Size from which a message is sent, in bytes; further reports go into the next one.
const MAX_MESSAGE_SIZE: usize = 32 << 10;

/// Number of attempts to send reports. After that they are dropped, and the orders time out at the
/// owner.
const MAX_ATTEMPTS: u32 = 3;

/// An owner on another node, as the receiver of order outcomes.
#[derive(Clone)]
struct RemoteOwner {
    shared: Arc<Shared>,
    /// When the ownership was last known to be confirmed, on this node's clock.
    confirmed: Arc<AtomicU64>,
    /// How long after `confirmed` start orders may be sent, in milliseconds.
    expiry: Arc<AtomicU64>,
    reports: mpsc::Sender<Report>,
}

impl OrderSink for RemoteOwner {
    async fn deliver(&self, report: Report) {
        // A failed send means that another owner has replaced this one.
        let _ = self.reports.send(report).await;
    }

    fn is_disconnected(&self) -> bool {
        self.reports.is_closed()
    }

    fn holds_ownership(&self) -> bool {
        let confirmed = Time::new(self.confirmed.load(Ordering::Acquire));
        let expiry = Duration::from_millis(self.expiry.load(Ordering::Acquire));
        self.shared.clock.now().since(confirmed) < expiry
    }
}

/// The state for the owner that this node relays orders for.
struct OwnerSession {
    epoch: u64,
    confirmed: Arc<AtomicU64>,
    expiry: Arc<AtomicU64>,
    sender: OrderSender<RemoteOwner>,
}

/// Relays orders for the newest owner on another node.
pub(crate) struct RelayServer {
    shared: Arc<Shared>,
    session: Mutex<Option<OwnerSession>>,
    fetcher: SpecFetcher,
}

impl RelayServer {
    /// Creates a relay that does not serve any owner yet.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            fetcher: SpecFetcher::new(shared.clone()),
            shared,
            session: Mutex::new(None),
        }
    }

    /// Accepts orders and sends them to their workers. Returns false if this node already relays
    /// for a newer owner.
    pub(crate) fn accept(self: &Arc<Self>, mut request: RelayRequest) -> bool {
        let incomplete = request.restore_specs(&mut self.shared.specs());
        let mut session = self.lock();
        let newest = session.as_ref().map_or(0, |s| s.epoch);
        if newest > request.epoch {
            return false;
        }
        if newest < request.epoch {
            *session = Some(self.start_session(&request));
        }
        let Some(session) = session.as_mut() else {
            return false;
        };
        let confirmed = request.confirmed.get();
        session.confirmed.fetch_max(confirmed, Ordering::AcqRel);
        session.expiry.store(request.expiry, Ordering::Release);
        for envelope in request.envelopes {
            session.sender.submit(envelope);
        }
        for (digest, orders) in group_by_digest(incomplete) {
            tokio::spawn(self.clone().submit_fetched(request.epoch, digest, orders));
        }
        true
    }

    /// Fetches the spec that start orders lack, then submits them. Rejects them if the fetch fails.
    async fn submit_fetched(
        self: Arc<Self>,
        epoch: u64,
        digest: SpecDigest,
        orders: Vec<IncompleteOrder>,
    ) {
        let Some(origin) = orders.first().map(|o| o.origin) else {
            return;
        };
        let spec = self.fetcher.fetch(digest, origin).await;
        let mut session = self.lock();
        // If a newer owner has taken over, it determines the state of these runs itself.
        let Some(session) = session.as_mut().filter(|s| s.epoch == epoch) else {
            return;
        };
        for mut order in orders {
            match (&spec, &mut order.envelope.order) {
                (Some(spec), Order::Start(start)) => {
                    start.spec = spec.clone();
                    session.sender.submit(order.envelope);
                }
                _ => session.sender.reject(order.envelope),
            }
        }
    }

    /// Starts relaying for the owner that sent a request.
    fn start_session(&self, request: &RelayRequest) -> OwnerSession {
        log::info!(
            epoch = request.epoch, owner:% = request.owner;
            "orders are carried for an owner"
        );
        let (reports, queue) = mpsc::channel(QUEUE_CAPACITY);
        let confirmed = Arc::new(AtomicU64::new(0));
        let expiry = Arc::new(AtomicU64::new(request.expiry));
        let sink = RemoteOwner {
            shared: self.shared.clone(),
            confirmed: confirmed.clone(),
            expiry: expiry.clone(),
            reports,
        };
        let reporter = send_reports(self.shared.clone(), request.epoch, request.owner, queue);
        tokio::spawn(reporter);
        OwnerSession {
            epoch: request.epoch,
            confirmed,
            expiry,
            sender: OrderSender::new(self.shared.clone(), sink),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<OwnerSession>> {
        self.session.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Groups orders by the digest of their spec.
fn group_by_digest(incomplete: Vec<IncompleteOrder>) -> Map<SpecDigest, Vec<IncompleteOrder>> {
    let mut orders: Map<SpecDigest, Vec<IncompleteOrder>> = Map::default();
    for order in incomplete {
        orders.entry(order.digest).or_default().push(order);
    }
    orders
}

/// Sends queued reports to the owner, as many as fit into each message.
async fn send_reports(
    shared: Arc<Shared>,
    epoch: u64,
    owner: SocketAddr,
    mut queue: mpsc::Receiver<Report>,
) {
    let limit = OWNER_TIMEOUT + shared.settings.link.queue_time();
    let mut link = None;
    let mut encoder = DeltaEncoder::default();
    while let Some(first) = queue.recv().await {
        let mut size = first.size();
        let mut reports = vec![encode_poll(&shared, &mut encoder, first)];
        while size < MAX_MESSAGE_SIZE
            && let Ok(next) = queue.try_recv()
        {
            size += next.size();
            reports.push(encode_poll(&shared, &mut encoder, next));
        }
        let message = Reports {
            epoch,
            node: shared.settings.node.clone(),
            reports,
        };
        let mut arrived = false;
        for _ in 0..MAX_ATTEMPTS {
            if link.is_none() {
                link = PeerLink::connect(owner).await;
            }
            let Some(to) = &link else {
                continue;
            };
            match to.report(message.clone(), limit).await {
                Some(done) => {
                    arrived = done;
                    break;
                }
                None => link = None,
            }
        }
        if !arrived {
            encoder.clear();
        }
    }
}

/// Reduces a poll result to a delta to what the owner was sent before.
fn encode_poll(shared: &Shared, encoder: &mut DeltaEncoder, report: Report) -> Report {
    match report {
        Report::Polled(worker, number, Ok(status)) => {
            let delta = encoder.encode(shared.clock.now(), &worker, number, status);
            Report::Delta(worker, number, delta)
        }
        other => other,
    }
}

/// Offers to relay orders for the current owner of the cell, for as long as the node runs. While
/// the node is a relay, the repeated offers serve as heartbeats.
pub(crate) async fn offer_relay(shared: Arc<Shared>) {
    let cores = shared.settings.cores;
    let delay = SINGLE_CORE_DELAY.div_f64(cores).min(MAX_OFFER_DELAY);
    let mut offered_epoch = None;
    let mut link: Option<PeerLink> = None;
    loop {
        let Some(owner) = shared.owner.load_full() else {
            sleep(HEARTBEAT_INTERVAL).await;
            continue;
        };
        if owner.node == shared.settings.node {
            sleep(OFFER_INTERVAL).await;
            continue;
        }
        if offered_epoch != Some(owner.epoch) {
            offered_epoch = Some(owner.epoch);
            sleep(delay).await;
        }
        if link.as_ref().is_none_or(|l| l.addr != owner.addr) {
            link = PeerLink::connect(owner.addr).await;
        }
        let reply = match &link {
            Some(to) => {
                let memory = shared.settings.memory;
                to.enlist(build_offer(&shared), memory, OWNER_TIMEOUT).await
            }
            None => None,
        };
        match reply {
            Some(Reply::Wanted) => sleep(HEARTBEAT_INTERVAL).await,
            Some(Reply::Enough) => {
                let spread = rand::rng().random_range(0.5..1.0);
                sleep(OFFER_INTERVAL.mul_f64(spread)).await;
            }
            Some(Reply::NotOwner | Reply::NotYet) => sleep(HEARTBEAT_INTERVAL).await,
            None => {
                link = None;
                sleep(HEARTBEAT_INTERVAL).await;
            }
        }
    }
}

/// This node's offer.
fn build_offer(shared: &Shared) -> Offer {
    let settings = &shared.settings;
    let link = settings.link.bytes_in(Duration::from_secs(1));
    Offer {
        node: settings.node.clone(),
        life: shared.life,
        zone: settings.zone.clone(),
        addr: settings.listen.peers,
        capacity: Capacity::new(link as f64, settings.cores),
        clock: shared.clock.now(),
        leaving: shared.is_stopping(),
    }
}
