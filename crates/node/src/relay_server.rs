//! Relays orders for an owner on another node: offers to, takes requests, reports.

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
use crate::relay_request::{Incomplete, Order, RelayRequest, Report, Reports};
use crate::shared::Shared;
use crate::spec_fetcher::SpecFetcher;

/// Time between heartbeats of a relay.
const HEARTBEAT: Duration = Duration::from_millis(400);

/// Time between offers of a node that is not wanted, half of it up to all of it.
const OFFER_AGAIN: Duration = Duration::from_millis(4_000);

/// Wait of a node with one core before its first offer; one with less waits for longer in
/// proportion, so that those with more capacity come first.
const CORE_DELAY: Duration = Duration::from_millis(50);

/// Longest such wait.
const MAX_DELAY: Duration = Duration::from_millis(800);

/// Time for an answer of the owner.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Reports that may wait.
const QUEUE: usize = 4_096;

/// Largest message, in bytes.
const MAX_MESSAGE: usize = 32 << 10;

/// Times that reports are told before they are left to the owner's own time limit.
const TRIES: u32 = 3;

/// An owner on another node, as a relay knows it.
#[derive(Clone)]
struct RemoteOwner {
    shared: Arc<Shared>,
    /// When the ownership was last known to be confirmed, on this node's clock.
    confirmed: Arc<AtomicU64>,
    /// Time after that from which no start is ordered, in milliseconds.
    expiry: Arc<AtomicU64>,
    reports: mpsc::Sender<Report>,
}

impl OrderSink for RemoteOwner {
    async fn tell(&self, report: Report) {
        // With another owner at work there is nobody to tell.
        let _ = self.reports.send(report).await;
    }

    fn is_gone(&self) -> bool {
        self.reports.is_closed()
    }

    fn leads(&self) -> bool {
        let confirmed = Time::new(self.confirmed.load(Ordering::Acquire));
        let expiry = Duration::from_millis(self.expiry.load(Ordering::Acquire));
        self.shared.clock.now().since(confirmed) < expiry
    }
}

/// Orders of one ownership.
struct Service {
    epoch: u64,
    confirmed: Arc<AtomicU64>,
    expiry: Arc<AtomicU64>,
    sender: OrderSender<RemoteOwner>,
}

/// Relays orders for an owner on another node.
pub(crate) struct RelayServer {
    shared: Arc<Shared>,
    service: Mutex<Option<Service>>,
    fetcher: SpecFetcher,
}

impl RelayServer {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            fetcher: SpecFetcher::new(shared.clone()),
            shared,
            service: Mutex::new(None),
        }
    }

    /// Takes orders; false if a newer owner's were taken before.
    pub(crate) fn take(self: &Arc<Self>, mut request: RelayRequest) -> bool {
        let incomplete = request.unfold_specs(&mut self.shared.specs());
        let mut service = self.lock();
        let newest = service.as_ref().map_or(0, |s| s.epoch);
        if newest > request.epoch {
            return false;
        }
        if newest < request.epoch {
            *service = Some(self.serve(&request));
        }
        let Some(service) = service.as_mut() else {
            return false;
        };
        let confirmed = request.confirmed.get();
        service.confirmed.fetch_max(confirmed, Ordering::AcqRel);
        service.expiry.store(request.expiry, Ordering::Release);
        for envelope in request.envelopes {
            service.sender.submit(envelope);
        }
        for (digest, orders) in by_digest(incomplete) {
            tokio::spawn(self.clone().complete(request.epoch, digest, orders));
        }
        true
    }

    /// Submits start orders once what their jobs run was fetched.
    async fn complete(self: Arc<Self>, epoch: u64, digest: SpecDigest, orders: Vec<Incomplete>) {
        let Some(origin) = orders.first().map(|o| o.origin) else {
            return;
        };
        let spec = self.fetcher.fetch(digest, origin).await;
        let mut service = self.lock();
        // A newer owner settles by itself what became of these.
        let Some(service) = service.as_mut().filter(|s| s.epoch == epoch) else {
            return;
        };
        for mut order in orders {
            match (&spec, &mut order.envelope.order) {
                (Some(spec), Order::Start(start)) => {
                    start.spec = spec.clone();
                    service.sender.submit(order.envelope);
                }
                _ => service.sender.reject(order.envelope),
            }
        }
    }

    fn serve(&self, request: &RelayRequest) -> Service {
        log::info!(epoch = request.epoch, owner:% = request.owner; "orders are carried for an owner");
        let (reports, told) = mpsc::channel(QUEUE);
        let confirmed = Arc::new(AtomicU64::new(0));
        let expiry = Arc::new(AtomicU64::new(request.expiry));
        let principal = RemoteOwner {
            shared: self.shared.clone(),
            confirmed: confirmed.clone(),
            expiry: expiry.clone(),
            reports,
        };
        let teller = tell(self.shared.clone(), request.epoch, request.owner, told);
        tokio::spawn(teller);
        Service {
            epoch: request.epoch,
            confirmed,
            expiry,
            sender: OrderSender::new(self.shared.clone(), principal),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Service>> {
        self.service.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Orders by what their jobs run.
fn by_digest(incomplete: Vec<Incomplete>) -> Map<SpecDigest, Vec<Incomplete>> {
    let mut orders: Map<SpecDigest, Vec<Incomplete>> = Map::default();
    for order in incomplete {
        orders.entry(order.digest).or_default().push(order);
    }
    orders
}

/// Tells the owner what became of its orders, all that waits in one message.
async fn tell(
    shared: Arc<Shared>,
    epoch: u64,
    owner: SocketAddr,
    mut told: mpsc::Receiver<Report>,
) {
    let limit = TIMEOUT + shared.settings.link.queue_time();
    let mut link = None;
    let mut known = DeltaEncoder::default();
    while let Some(first) = told.recv().await {
        let mut size = first.size();
        let mut reports = vec![fold(&shared, &mut known, first)];
        while size < MAX_MESSAGE
            && let Ok(next) = told.try_recv()
        {
            size += next.size();
            reports.push(fold(&shared, &mut known, next));
        }
        let message = Reports {
            epoch,
            node: shared.settings.node.clone(),
            reports,
        };
        let mut arrived = false;
        for _ in 0..TRIES {
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
            known.clear();
        }
    }
}

/// Leaves out of a look what the owner was told before.
fn fold(shared: &Shared, known: &mut DeltaEncoder, report: Report) -> Report {
    match report {
        Report::Looked(worker, number, Ok(look)) => {
            let seen = known.encode(shared.clock.now(), &worker, number, look);
            Report::Seen(worker, number, seen)
        }
        other => other,
    }
}

/// Offers to relay orders for whoever owns the cell, for as long as the node runs.
pub(crate) async fn offer(shared: Arc<Shared>) {
    let cores = shared.settings.cores;
    let first = CORE_DELAY.div_f64(cores).min(MAX_DELAY);
    let mut asked = None;
    let mut link: Option<PeerLink> = None;
    loop {
        let Some(owner) = shared.owner.load_full() else {
            sleep(HEARTBEAT).await;
            continue;
        };
        if owner.node == shared.settings.node {
            sleep(OFFER_AGAIN).await;
            continue;
        }
        if asked != Some(owner.epoch) {
            asked = Some(owner.epoch);
            sleep(first).await;
        }
        if link.as_ref().is_none_or(|l| l.addr != owner.addr) {
            link = PeerLink::connect(owner.addr).await;
        }
        let reply = match &link {
            Some(to) => to.enlist(own_offer(&shared), TIMEOUT).await,
            None => None,
        };
        match reply {
            Some(Reply::Wanted) => sleep(HEARTBEAT).await,
            Some(Reply::Enough) => {
                let spread = rand::rng().random_range(0.5..1.0);
                sleep(OFFER_AGAIN.mul_f64(spread)).await;
            }
            Some(Reply::NotOwner | Reply::NotYet) => sleep(HEARTBEAT).await,
            None => {
                link = None;
                sleep(HEARTBEAT).await;
            }
        }
    }
}

fn own_offer(shared: &Shared) -> Offer {
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
