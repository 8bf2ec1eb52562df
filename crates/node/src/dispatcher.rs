//! Executes the cell's outputs: sends orders to workers, directly or through relays.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_adapter::PolicyClient;
use cactuswheel_cell::{Batch, Output};
use cactuswheel_model::{Map, Time};
use cactuswheel_relay::{
    Capacity, DeltaDecoder, LostOrder, Offer, Pending, RelayTerm, Relays, Reply, Route, Site,
    SpecOrigins,
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
use crate::link_rate::LinkRate;
use crate::order_sender::{ORDER_TIMEOUT, OrderSender, OrderSink, POLL_TIMEOUT};
use crate::owner_stats::OwnerStats;
use crate::peer_traffic::total_traffic;
use crate::relay_client::RelayClient;
use crate::relay_request::{Envelope, Order, Report, Reports};
use crate::shared::Shared;

/// Pause after a failed call to the policy service, which handles one call of a node at a time.
const ADVICE_RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Calls to the policy service in flight. The service handles a node's calls one after the other
/// and rejects further ones while 32 are waiting, so more calls would only move the queue there.
const MAX_ADVICE_CALLS: usize = 4;

/// Timeout of a call to the policy service, above the answer time that the service states.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for the round trip to a relay and for the relay's own queue, on top of the order's timeout.
const RELAY_ROUND_TRIP: Duration = Duration::from_millis(700);

/// Outbound share of the link above which start orders through relays omit the job's spec.
const HIGH_OUTBOUND_SHARE: f64 = 0.25;

/// Inbound share of the link above which answers queue up on it.
const HIGH_INBOUND_SHARE: f64 = 0.6;

/// Interval between checks for silent relays and overdue orders.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time in which overdue orders are certainly reported, with an iteration of the owner's event loop
/// that takes long.
const REPORT_MARGIN: Duration = Duration::from_millis(500);

/// Time beyond the wait of a poll within which its outcome is reported to the cell, if need be as
/// unknown.
pub(crate) fn report_limit(link: LinkRate) -> Duration {
    POLL_TIMEOUT + RELAY_ROUND_TRIP + link.queue_time() + REPORT_MARGIN
}

/// The owner on this node, as the receiver of order outcomes.
#[derive(Clone)]
struct LocalOwner {
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
}

impl OrderSink for LocalOwner {
    async fn deliver(&self, report: Report) {
        // A failed send means that the owner has stopped and needs no report.
        let _ = self.events.send(Event::Report(report)).await;
    }

    fn is_disconnected(&self) -> bool {
        self.events.is_closed()
    }

    fn holds_ownership(&self) -> bool {
        self.shared.holds_ownership()
    }
}

/// Executes the outputs of the cell under one epoch, until it is dropped.
pub(crate) struct Dispatcher {
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
    epoch: u64,
    journal: JournalWriter,
    /// Sends orders directly to workers.
    sender: OrderSender<LocalOwner>,
    relays: Relays,
    clients: Map<NodeName, RelayClient>,
    /// The last poll result of each worker that a relay reported, for expanding deltas.
    relay_polls: DeltaDecoder,
    /// The site of each listed worker.
    sites: Map<WorkerId, Site>,
    /// The roster has been read to its end, so every worker is in `sites`.
    roster_complete: bool,
    /// When silent relays and overdue orders were last checked for.
    last_check: Time,
    stats: OwnerStats,
    /// Outbound load of the link.
    outbound: LinkLoad,
    /// Inbound load of the link.
    inbound: LinkLoad,
    /// Start orders through relays refer to the job's spec by its digest.
    omit_specs: bool,
    /// `None` if the settings name no policy service.
    policy: Option<Arc<PolicyClient>>,
    /// Limits the calls to the policy service in flight.
    advice_slots: Arc<Semaphore>,
    tasks: TaskTracker,
}

impl Dispatcher {
    /// Creates a dispatcher for the ownership with this epoch.
    pub(crate) fn new(shared: Arc<Shared>, events: mpsc::Sender<Event>, epoch: u64) -> Self {
        let policy = shared
            .settings
            .policy
            .map(|a| Arc::new(PolicyClient::new(a)));
        let sink = LocalOwner {
            shared: shared.clone(),
            events: events.clone(),
        };
        let link = shared.settings.link.bytes_in(Duration::from_secs(1));
        let cores = shared.settings.cores;
        Self {
            journal: JournalWriter::new(shared.clone(), events.clone(), epoch),
            sender: OrderSender::new(shared.clone(), sink),
            relays: Relays::new(Capacity::for_owner(link as f64, cores)),
            clients: Map::default(),
            relay_polls: DeltaDecoder::default(),
            sites: Map::default(),
            roster_complete: false,
            last_check: shared.clock.now(),
            stats: OwnerStats::new(shared.clock.now()),
            outbound: LinkLoad::new(shared.clock.now(), total_traffic().0, HIGH_OUTBOUND_SHARE),
            inbound: LinkLoad::new(shared.clock.now(), total_traffic().1, HIGH_INBOUND_SHARE),
            omit_specs: false,
            shared,
            events,
            epoch,
            policy,
            advice_slots: Arc::new(Semaphore::new(MAX_ADVICE_CALLS)),
            tasks: TaskTracker::new(),
        }
    }

    /// Executes an output of the cell. Orders through relays are collected until [`Self::flush`].
    pub(crate) fn execute(&mut self, output: Output) {
        match output {
            Output::Append(batch) => self.append(batch),
            Output::DropSubmissions(jobs) => self.drop_submissions(jobs),
            Output::PollWorker {
                worker,
                addr,
                poll_number,
                order,
            } => self.send_order(worker, addr, Order::Poll(poll_number, order)),
            Output::Start {
                worker,
                addr,
                order,
            } => self.send_order(worker, addr, Order::Start(order)),
            Output::Stop {
                worker,
                addr,
                order,
            } => self.send_order(worker, addr, Order::Stop(order)),
            Output::Pace {
                worker,
                addr,
                order,
            } => self.send_order(worker, addr, Order::Pace(order)),
            Output::RequestAdvice { step, workers } => self.ask_advice(step, workers),
            // The owner handles these itself.
            Output::Deposed { .. } | Output::Accepted(_) => {}
        }
    }

    /// Sends the orders collected for relays since the last call. `origins` says which nodes have
    /// a job's spec, and learns of relays that are sent one.
    pub(crate) fn flush(&mut self, origins: &mut SpecOrigins) {
        let now = self.shared.clock.now();
        let (sent, _) = total_traffic();
        let link = self.shared.settings.link;
        self.omit_specs = self.outbound.is_high(now, sent, link);
        let omit = self.omit_specs;
        let age = self.shared.ownership_age();
        for (node, client) in &mut self.clients {
            if client.is_empty() {
                continue;
            }
            if let Some(confirmed) = self.relays.confirmation_time(now, node, age) {
                let addr = client.addr();
                client.send(confirmed, |job| {
                    let known = origins.get(&job).filter(|_| omit);
                    // Other relays can fetch the spec from this one.
                    if omit && known.is_none() {
                        origins.insert(now, job, addr);
                    }
                    known
                });
            }
        }
    }

    /// Adds time that the owner spent in one iteration of its event loop.
    pub(crate) fn add_busy(&mut self, time: Duration) {
        self.stats.add_busy(time);
    }

    /// Whether the inbound load of the link is so high that this alone may delay answers.
    pub(crate) fn is_link_full(&mut self) -> bool {
        let (_, received) = total_traffic();
        let now = self.shared.clock.now();
        self.inbound
            .is_high(now, received, self.shared.settings.link)
    }

    /// Whether most start orders omit the job's spec.
    pub(crate) fn omits_specs(&self) -> bool {
        self.omit_specs && self.relays.count() > 0
    }

    /// Handles a node's offer to relay orders.
    pub(crate) fn offer(&mut self, offer: Offer) -> Reply {
        let now = self.shared.clock.now();
        let (node, addr) = (offer.node.clone(), offer.addr);
        let reply = self.relays.handle_offer(now, offer);
        if reply == Reply::Wanted
            && !self.clients.contains_key(&node)
            && let Some(term) = self.relays.term(&node)
        {
            let client = RelayClient::start(
                self.shared.clone(),
                self.events.clone(),
                self.epoch,
                node.clone(),
                term,
                addr,
            );
            self.clients.insert(node, client);
        }
        reply
    }

    /// Handles the reports of a relay and expands their poll deltas. Reports of another epoch are
    /// ignored.
    pub(crate) fn accept_reports(&mut self, reports: Reports) -> Vec<Report> {
        if reports.epoch != self.epoch {
            return Vec::new();
        }
        let node = reports.node;
        let mut expanded = Vec::with_capacity(reports.reports.len());
        for report in reports.reports {
            let (worker, order) = answered_order(&report);
            self.relays.record_answer(&node, worker, &order);
            expanded.push(expand_poll(&mut self.relay_polls, &node, report));
        }
        expanded
    }

    /// Removes a relay whose client of `term` failed, and returns reports with an unknown outcome
    /// for its pending orders.
    pub(crate) fn drop_relay(
        &mut self,
        node: &NodeName,
        term: RelayTerm,
        why: &str,
    ) -> Vec<Report> {
        let lost = self.relays.remove_term(node, term, why);
        if self.relays.term(node).is_none() {
            self.clients.remove(node);
        }
        lost.into_iter().map(unknown_outcome).collect()
    }

    /// Removes silent relays, and returns reports with an unknown outcome for orders that are
    /// overdue at relays. Does nothing if the last check was less than [`CHECK_INTERVAL`] ago.
    pub(crate) fn expire_overdue(&mut self) -> Vec<Report> {
        let now = self.shared.clock.now();
        if now.since(self.last_check) < CHECK_INTERVAL {
            return Vec::new();
        }
        self.last_check = now;
        if self.roster_complete {
            self.relays.set_worker_count(self.sites.len());
        }
        let lost = self.relays.take_overdue(now);
        let relays = &self.relays;
        self.clients.retain(|node, _| relays.addr(node).is_some());
        self.shared.metrics.set_relays(relays.count());
        if let Some(percent) = self.stats.log_due(now, self.relays.count()) {
            self.shared.metrics.set_busy(percent);
        }
        lost.into_iter().map(unknown_outcome).collect()
    }

    /// Records the site of a listed worker.
    pub(crate) fn add_worker(&mut self, entry: &WorkerEntry) {
        if !self.sites.contains_key(&entry.id) {
            self.sites.insert(entry.id.clone(), Site::of(entry));
        }
    }

    /// Records that every worker's entry has been read.
    pub(crate) fn mark_complete(&mut self) {
        self.roster_complete = true;
    }

    /// Forgets a worker that is no longer listed, and closes its connections.
    pub(crate) fn remove_worker(&mut self, id: &WorkerId) {
        self.sites.remove(id);
        self.relay_polls.forget(id);
        self.relays.forget(id);
        self.sender.remove_worker(id);
    }

    /// Sends an order directly, or adds it to the next message to the worker's relay.
    fn send_order(&mut self, worker: WorkerId, addr: SocketAddr, order: Order) {
        let now = self.shared.clock.now();
        let route = self.relays.choose(now, &worker, self.sites.get(&worker));
        let envelope = Envelope {
            worker,
            addr,
            order,
        };
        let Route::Relay(node) = route else {
            return self.sender.submit(envelope);
        };
        let Some(client) = self.clients.get_mut(&node) else {
            return self.sender.submit(envelope);
        };
        if let Some((order, limit)) = expected_answer(&envelope.order) {
            let queued = self.shared.settings.link.queue_time();
            let until = now.after(limit + RELAY_ROUND_TRIP + queued);
            self.relays
                .record_sent(&node, &envelope.worker, order, until);
        }
        client.add(envelope);
    }

    fn drop_submissions(&mut self, jobs: Vec<JobId>) {
        let (journal, events) = (self.journal.clone(), self.events.clone());
        self.tasks.spawn(async move {
            let (dropped, left) = journal.clear_intake(&jobs).await;
            // A failed send means that the owner has stopped.
            let _ = events.send(Event::Dropped(dropped, left)).await;
        });
    }

    /// Asks the policy service which of these workers may run a step.
    fn ask_advice(&mut self, step: StepId, workers: Vec<WorkerId>) {
        let events = self.events.clone();
        let Some(policy) = self.policy.clone() else {
            log::error!(
                step:% = step;
                "queue has a policy but the settings name no policy service"
            );
            return;
        };
        let slots = self.advice_slots.clone();
        self.tasks.spawn(async move {
            let Ok(_slot) = slots.acquire().await else {
                return;
            };
            let answer = policy.ask(step, &workers, ADVICE_TIMEOUT).await;
            if let Err(e) = &answer {
                log::warn!(step:% = step, workers = workers.len() as u64, error:% = e; "no advice");
                sleep(ADVICE_RETRY_PAUSE).await;
            }
            let permitted = answer.ok().map(|a| a.permits);
            let _ = events.send(Event::PolicyAnswer(step, permitted)).await;
        });
    }

    fn append(&mut self, batch: Batch) {
        let writer = self.journal.clone();
        self.tasks.spawn(async move { writer.append(batch).await });
    }
}

/// Which answer a relay has to report for an order, and the order's own timeout. Stop orders are
/// not answered; later polls show their effect.
fn expected_answer(order: &Order) -> Option<(Pending, Duration)> {
    match order {
        Order::Poll(number, order) => Some((Pending::Poll(*number), order.wait + POLL_TIMEOUT)),
        Order::Start(order) => Some((Pending::Start(order.task, order.run), ORDER_TIMEOUT)),
        Order::Pace(order) => Some((Pending::Pace(order.clone()), ORDER_TIMEOUT)),
        Order::Stop(_) => None,
    }
}

/// The worker and the order that a report answers.
fn answered_order(report: &Report) -> (&WorkerId, Pending) {
    match report {
        Report::Polled(worker, number, _) | Report::Delta(worker, number, _) => {
            (worker, Pending::Poll(*number))
        }
        Report::Started(worker, task, run, _) => (worker, Pending::Start(*task, *run)),
        Report::Paced(worker, order, _) => (worker, Pending::Pace(order.clone())),
    }
}

/// Expands a poll delta of a relay into a full poll result.
fn expand_poll(decoder: &mut DeltaDecoder, node: &NodeName, report: Report) -> Report {
    let Report::Delta(worker, number, delta) = report else {
        return report;
    };
    let status = decoder.decode(node, &worker, number, delta);
    let status =
        status.ok_or_else(|| PollError::Unknown("delta refers to a poll not received".into()));
    Report::Polled(worker, number, status)
}

/// The report of an order to a relay that got no answer.
fn unknown_outcome(lost: LostOrder) -> Report {
    let LostOrder { worker, order } = lost;
    match order {
        Pending::Poll(number) => {
            let error = PollError::Unknown("relay did not report the outcome".into());
            Report::Polled(worker, number, Err(error))
        }
        Pending::Start(task, run) => Report::Started(worker, task, run, StartOutcome::Unknown),
        Pending::Pace(order) => Report::Paced(worker, order, OrderOutcome::Unknown),
    }
}
