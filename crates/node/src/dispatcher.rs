//! Executes what the cell asks for, from this node or through relays.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_adapter::PolicyService;
use cactuswheel_cell::{Batch, Output};
use cactuswheel_model::{Map, Time};
use cactuswheel_relay::{
    Capacity, DeltaDecoder, LostOrder, Offer, Pending, Relays, Reply, Route, Site, SpecOrigins,
};
use cactuswheel_work::{
    JobId, NodeName, OrderOutcome, PollError, StartOutcome, StepId, WorkerEntry, WorkerId,
};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

use crate::event::Event;
use crate::journal_writer::JournalWriter;
use crate::link_load::LinkLoad;
use crate::order_sender::{LOOK_TIMEOUT, ORDER_TIMEOUT, OrderSender, OrderSink};
use crate::owner_stats::OwnerStats;
use crate::peer_traffic::total_traffic;
use crate::relay_client::RelayClient;
use crate::relay_request::{Envelope, Order, Report, Reports};
use crate::shared::Shared;

/// Pause after the policy service gave no answer: it takes one call of a node at a time.
const ADVICE_PAUSE: Duration = Duration::from_millis(30);

/// Questions to the policy service at a time. It takes one of a node after the other and turns
/// a node away that has 32 waiting; more at once only wait there instead of here.
const QUESTIONS: usize = 4;

/// Time for an answer of the policy service beyond what it says that it takes.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for the way to a relay and back, and for its own queue, beside the order's own limit.
const RELAY_WAY: Duration = Duration::from_millis(700);

/// Share of the link that goes out above which orders to start leave out what the job runs.
const LOADED_SHARE: f64 = 0.25;

/// Share of the link that comes in above which answers queue on it.
const FULL_SHARE: f64 = 0.6;

/// Time between looks for relays that are silent and orders that are overdue.
const CHECK_EVERY: Duration = Duration::from_millis(100);

/// The owner on this node, whose orders are carried out.
#[derive(Clone)]
struct LocalOwner {
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
}

impl OrderSink for LocalOwner {
    async fn tell(&self, report: Report) {
        // With the owner gone there is nobody to tell.
        let _ = self.events.send(Event::Report(report)).await;
    }

    fn is_gone(&self) -> bool {
        self.events.is_closed()
    }

    fn leads(&self) -> bool {
        self.shared.holds_ownership()
    }
}

/// Executes what the cell asks for, until it is dropped.
pub(crate) struct Dispatcher {
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
    epoch: u64,
    journal: JournalWriter,
    sender: OrderSender<LocalOwner>,
    relays: Relays,
    clients: Map<NodeName, RelayClient>,
    /// What relays told of workers.
    known: DeltaDecoder,
    sites: Map<WorkerId, Site>,
    /// Every worker's entry was told.
    listed: bool,
    checked: Time,
    stats: OwnerStats,
    /// How much of the link goes out.
    outward: LinkLoad,
    /// How much of it comes in.
    inward: LinkLoad,
    /// Relays are told what a job runs by its digest.
    named: bool,
    policy: Option<Arc<PolicyService>>,
    /// Questions to the policy service that are under way.
    questions: Arc<Semaphore>,
    tasks: TaskTracker,
}

impl Dispatcher {
    pub(crate) fn new(shared: Arc<Shared>, events: mpsc::Sender<Event>, epoch: u64) -> Self {
        let policy = shared
            .settings
            .policy
            .map(|a| Arc::new(PolicyService::new(a)));
        let own = LocalOwner {
            shared: shared.clone(),
            events: events.clone(),
        };
        let link = shared.settings.link.bytes_in(Duration::from_secs(1));
        let cores = shared.settings.cores;
        Self {
            journal: JournalWriter::new(shared.clone(), events.clone(), epoch),
            sender: OrderSender::new(shared.clone(), own),
            relays: Relays::new(Capacity::for_owner(link as f64, cores)),
            clients: Map::default(),
            known: DeltaDecoder::default(),
            sites: Map::default(),
            listed: false,
            checked: shared.clock.now(),
            stats: OwnerStats::new(shared.clock.now()),
            outward: LinkLoad::new(shared.clock.now(), total_traffic().0, LOADED_SHARE),
            inward: LinkLoad::new(shared.clock.now(), total_traffic().1, FULL_SHARE),
            named: false,
            shared,
            events,
            epoch,
            policy,
            questions: Arc::new(Semaphore::new(QUESTIONS)),
            tasks: TaskTracker::new(),
        }
    }

    pub(crate) fn execute(&mut self, output: Output) {
        match output {
            Output::Append(batch) => self.append(batch),
            Output::DropSubmissions(jobs) => self.drop_submissions(jobs),
            Output::Look {
                worker,
                addr,
                look,
                order,
            } => self.order(worker, addr, Order::Look(look, order)),
            Output::Start {
                worker,
                addr,
                order,
            } => self.order(worker, addr, Order::Start(order)),
            Output::Stop {
                worker,
                addr,
                order,
            } => self.order(worker, addr, Order::Stop(order)),
            Output::Pace {
                worker,
                addr,
                order,
            } => self.order(worker, addr, Order::Pace(order)),
            Output::Ask { step, workers } => self.ask(step, workers),
            // The owner acts on these.
            Output::Deposed { .. } | Output::Accepted(_) => {}
        }
    }

    /// Sends what was collected for relays since the last call.
    pub(crate) fn flush(&mut self, origins: &mut SpecOrigins) {
        let now = self.shared.clock.now();
        let (sent, _) = total_traffic();
        let link = self.shared.settings.link;
        self.named = self.outward.is_high(now, sent, link);
        let named = self.named;
        let age = self.shared.ownership_age();
        for (node, client) in &mut self.clients {
            if client.is_empty() {
                continue;
            }
            if let Some(confirmed) = self.relays.confirmation_time(now, node, age) {
                let addr = client.addr();
                client.send(confirmed, |job| {
                    let known = origins.get(&job).filter(|_| named);
                    // The next relay gets it from this one.
                    if named && known.is_none() {
                        origins.insert(now, job, addr);
                    }
                    known
                });
            }
        }
    }

    /// The owner was at work for so long without a pause.
    pub(crate) fn busy(&mut self, time: Duration) {
        self.stats.busy(time);
    }

    /// Whether so much comes in that answers may be late for that alone.
    pub(crate) fn is_link_full(&mut self) -> bool {
        let (_, received) = total_traffic();
        let now = self.shared.clock.now();
        self.inward
            .is_high(now, received, self.shared.settings.link)
    }

    /// Whether most orders to start leave out what the job runs.
    pub(crate) fn names_specs(&self) -> bool {
        self.named && self.relays.count() > 0
    }

    /// A node offers to relay orders.
    pub(crate) fn offer(&mut self, offer: Offer) -> Reply {
        let now = self.shared.clock.now();
        let (node, addr) = (offer.node.clone(), offer.addr);
        let reply = self.relays.handle_offer(now, offer);
        if reply == Reply::Wanted && !self.clients.contains_key(&node) {
            let client = RelayClient::start(
                self.shared.clone(),
                self.events.clone(),
                self.epoch,
                node.clone(),
                addr,
            );
            self.clients.insert(node, client);
        }
        reply
    }

    /// What a relay reports, as far as it is of this ownership.
    pub(crate) fn reported(&mut self, reports: Reports) -> Vec<Report> {
        if reports.epoch != self.epoch {
            return Vec::new();
        }
        let node = reports.node;
        let mut whole = Vec::with_capacity(reports.reports.len());
        for report in reports.reports {
            let (worker, order) = answered(&report);
            self.relays.record_answer(&node, worker, &order);
            whole.push(unfold(&mut self.known, &node, report));
        }
        whole
    }

    /// A relay takes no orders any more.
    pub(crate) fn lose_relay(&mut self, node: &NodeName, why: &str) -> Vec<Report> {
        self.clients.remove(node);
        let lost = self.relays.remove_relay(node, why);
        lost.into_iter().map(unknown).collect()
    }

    /// What is overdue by now at relays.
    pub(crate) fn overdue(&mut self) -> Vec<Report> {
        let now = self.shared.clock.now();
        if now.since(self.checked) < CHECK_EVERY {
            return Vec::new();
        }
        self.checked = now;
        if self.listed {
            self.relays.set_worker_count(self.sites.len());
        }
        let lost = self.relays.take_overdue(now);
        let relays = &self.relays;
        self.clients.retain(|node, _| relays.addr(node).is_some());
        self.shared.metrics.set_relays(relays.count());
        if let Some(percent) = self.stats.tell(now, self.relays.count()) {
            self.shared.metrics.set_busy(percent);
        }
        lost.into_iter().map(unknown).collect()
    }

    /// A worker is listed.
    pub(crate) fn place(&mut self, entry: &WorkerEntry) {
        if !self.sites.contains_key(&entry.id) {
            self.sites.insert(entry.id.clone(), Site::of(entry));
        }
    }

    /// Every worker's entry was told.
    pub(crate) fn know_all(&mut self) {
        self.listed = true;
    }

    /// A worker is listed no more: its connections go.
    pub(crate) fn forget(&mut self, id: &WorkerId) {
        self.sites.remove(id);
        self.known.forget(id);
        self.relays.forget(id);
        self.sender.forget(id);
    }

    fn order(&mut self, worker: WorkerId, addr: SocketAddr, order: Order) {
        let now = self.shared.clock.now();
        let way = self.relays.choose(now, &worker, self.sites.get(&worker));
        let envelope = Envelope {
            worker,
            addr,
            order,
        };
        let Route::Relay(node) = way else {
            return self.sender.submit(envelope);
        };
        let Some(client) = self.clients.get_mut(&node) else {
            return self.sender.submit(envelope);
        };
        if let Some((order, limit)) = waits_for(&envelope.order) {
            let queued = self.shared.settings.link.queue_time();
            let until = now.after(limit + RELAY_WAY + queued);
            self.relays
                .record_sent(&node, &envelope.worker, order, until);
        }
        client.add(envelope);
    }

    fn drop_submissions(&mut self, jobs: Vec<JobId>) {
        let journal = self.journal.clone();
        self.tasks.spawn(async move { journal.forget(&jobs).await });
    }

    fn ask(&mut self, step: StepId, workers: Vec<WorkerId>) {
        let events = self.events.clone();
        let Some(policy) = self.policy.clone() else {
            log::error!(step:% = step; "queue has a policy, and the settings name no service");
            return;
        };
        let questions = self.questions.clone();
        self.tasks.spawn(async move {
            let Ok(_question) = questions.acquire().await else {
                return;
            };
            let answer = policy.ask(step, &workers, ADVICE_TIMEOUT).await;
            if let Err(e) = &answer {
                log::warn!(step:% = step, workers = workers.len() as u64, error:% = e; "no advice");
                sleep(ADVICE_PAUSE).await;
            }
            let good = answer.ok().map(|a| a.good);
            let _ = events.send(Event::PolicyAnswer(step, good)).await;
        });
    }

    fn append(&mut self, batch: Batch) {
        let writer = self.journal.clone();
        self.tasks.spawn(async move { writer.append(batch).await });
    }
}

/// What a relay owes for an order, and the time that the order itself may take. Stops are not
/// answered: looks show what became of them.
fn waits_for(order: &Order) -> Option<(Pending, Duration)> {
    match order {
        Order::Look(look, order) => Some((Pending::Poll(*look), order.wait + LOOK_TIMEOUT)),
        Order::Start(order) => Some((Pending::Start(order.task, order.run), ORDER_TIMEOUT)),
        Order::Pace(order) => Some((Pending::Pace(order.clone()), ORDER_TIMEOUT)),
        Order::Stop(_) => None,
    }
}

fn answered(report: &Report) -> (&WorkerId, Pending) {
    match report {
        Report::Looked(worker, look, _) | Report::Seen(worker, look, _) => {
            (worker, Pending::Poll(*look))
        }
        Report::Started(worker, task, run, _) => (worker, Pending::Start(*task, *run)),
        Report::Paced(worker, order, _) => (worker, Pending::Pace(order.clone())),
    }
}

/// Puts back what a relay left out of a look.
fn unfold(known: &mut DeltaDecoder, node: &NodeName, report: Report) -> Report {
    let Report::Seen(worker, number, seen) = report else {
        return report;
    };
    let look = known.decode(node, &worker, number, seen);
    let look =
        look.ok_or_else(|| PollError::Unknown("it refers to one that did not arrive".into()));
    Report::Looked(worker, number, look)
}

fn unknown(lost: LostOrder) -> Report {
    let LostOrder { worker, order } = lost;
    match order {
        Pending::Poll(look) => {
            let error = PollError::Unknown("no word of its relay".into());
            Report::Looked(worker, look, Err(error))
        }
        Pending::Start(task, run) => Report::Started(worker, task, run, StartOutcome::Unknown),
        Pending::Pace(order) => Report::Paced(worker, order, OrderOutcome::Unknown),
    }
}
