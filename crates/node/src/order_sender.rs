//! Sends orders to workers from this node, for its own cell or for an owner on another node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use cactuswheel_adapter::{Link, Orders};
use cactuswheel_model::{Map, Time};
use cactuswheel_rtt::RttEstimator;
use cactuswheel_work::{HoldOrder, PaceOrder, StartOrder, StartOutcome, StopOrder, WorkerId};
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio_util::task::TaskTracker;

use crate::relay_request::{Envelope, Order, Report};
use crate::shared::Shared;

/// Orders to one worker that are under way at a time. Two keep one lost answer from holding all
/// others up; each takes a connection.
const MAX_PER_WORKER: usize = 2;

/// Time that orders under way may take on the link.
///
/// Failure: a new owner starts hundreds of tasks at once over a narrow link, the renewals of its
/// ownership wait behind them for seconds, and the ownership is claimed by the next node.
const MAX_LINK_TIME: Duration = Duration::from_millis(150);

/// About what an order and its answer take up on the link, in bytes.
const ORDER_SIZE: usize = 700;

/// Least number of orders under way.
const MIN_IN_FLIGHT: usize = 16;

/// Longest wait for an answer to an order; a shorter one is learnt from how long answers take.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for an answer to a look, beyond its own wait; a shorter one is learnt.
pub(crate) const POLL_TIMEOUT: Duration = Duration::from_millis(600);

/// Shortest wait for an answer. A node that has used up its processor stands still for a tenth
/// of a second.
const MIN_TIMEOUT: Duration = Duration::from_millis(150);

/// Time without an order after which a worker's connections go.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Workers that are reached before unused ones are looked for.
const PRUNE_ABOVE: usize = 64;

/// Where the outcome of orders is reported.
pub(crate) trait OrderSink: Clone + Send + Sync + 'static {
    /// Tells what became of an order.
    fn deliver(&self, report: Report) -> impl Future<Output = ()> + Send;

    /// Whether nobody takes reports any more.
    fn is_disconnected(&self) -> bool;

    /// Whether the ownership under which orders are given was confirmed so lately that nobody
    /// else can have claimed it.
    fn holds_ownership(&self) -> bool;
}

/// Sends orders to workers, until it is dropped.
pub(crate) struct OrderSender<C> {
    shared: Arc<Shared>,
    sink: C,
    workers: Map<WorkerId, WorkerConn>,
    /// Orders that may be under way.
    window: Arc<Semaphore>,
    /// How long workers' answers to orders take.
    start_rtt: Arc<RttEstimator>,
    last_pruned: Time,
    tasks: TaskTracker,
}

/// The connections to one worker.
struct WorkerConn {
    addr: SocketAddr,
    orders: Arc<Orders>,
    slots: Arc<Semaphore>,
    /// Newest fencing token that any order carried; older orders are not sent any more.
    fence: Arc<AtomicU64>,
    poll: Option<AbortHandle>,
    last_used: Time,
}

impl<C: OrderSink> OrderSender<C> {
    pub(crate) fn new(shared: Arc<Shared>, sink: C) -> Self {
        let orders = shared.settings.link.bytes_in(MAX_LINK_TIME) / ORDER_SIZE;
        let orders = orders.clamp(MIN_IN_FLIGHT, Semaphore::MAX_PERMITS);
        Self {
            sink,
            workers: Map::default(),
            window: Arc::new(Semaphore::new(orders)),
            start_rtt: Arc::new(RttEstimator::new(MIN_TIMEOUT, ORDER_TIMEOUT)),
            last_pruned: shared.clock.now(),
            tasks: TaskTracker::new(),
            shared,
        }
    }

    pub(crate) fn submit(&mut self, envelope: Envelope) {
        let Envelope {
            worker,
            addr,
            order,
        } = envelope;
        self.prune();
        match order {
            Order::Poll(number, order) => self.poll(worker, addr, number, order),
            Order::Start(order) => self.start(worker, addr, order),
            Order::Stop(order) => self.stop(&worker, addr, order),
            Order::Pace(order) => self.pace(&worker, addr, order),
        }
    }

    /// A start order cannot be sent.
    pub(crate) fn reject(&self, envelope: Envelope) {
        let Order::Start(order) = envelope.order else {
            return;
        };
        let sink = self.sink.clone();
        let (task, run) = (order.task, order.run);
        let report = Report::Started(envelope.worker, task, run, StartOutcome::NotSent);
        self.tasks.spawn(async move { sink.deliver(report).await });
    }

    /// A worker is listed no more: its connections go.
    pub(crate) fn remove_worker(&mut self, id: &WorkerId) {
        self.workers.remove(id);
    }

    fn prune(&mut self) {
        let now = self.shared.clock.now();
        if self.workers.len() < PRUNE_ABOVE || now.since(self.last_pruned) < IDLE_TIMEOUT {
            return;
        }
        self.last_pruned = now;
        self.workers
            .retain(|_, conn| now.since(conn.last_used) < IDLE_TIMEOUT);
    }

    fn conn(&mut self, id: &WorkerId, addr: SocketAddr) -> &mut WorkerConn {
        let now = self.shared.clock.now();
        let fresh = || WorkerConn {
            addr,
            orders: Arc::new(Orders::new(id.clone(), Link::new(addr))),
            slots: Arc::new(Semaphore::new(MAX_PER_WORKER)),
            fence: Arc::new(AtomicU64::new(0)),
            poll: None,
            last_used: now,
        };
        let conn = self.workers.entry(id.clone()).or_insert_with(fresh);
        if conn.addr != addr {
            *conn = fresh();
        }
        conn.last_used = now;
        conn
    }

    fn poll(&mut self, worker: WorkerId, addr: SocketAddr, number: u64, order: HoldOrder) {
        let sink = self.sink.clone();
        let queued = self.shared.settings.link.queue_time();
        let limit = (self.start_rtt.limit() + queued).min(POLL_TIMEOUT);
        let conn = self.conn(&worker, addr);
        conn.fence.fetch_max(order.fence, Ordering::AcqRel);
        if let Some(before) = conn.poll.take() {
            before.abort();
        }
        let orders = conn.orders.clone();
        let task = tokio::spawn(async move {
            let answer = orders.hold(&order, limit).await;
            sink.deliver(Report::Polled(worker, number, answer)).await;
        });
        conn.poll = Some(task.abort_handle());
    }

    fn start(&mut self, worker: WorkerId, addr: SocketAddr, order: StartOrder) {
        let (sink, shared) = (self.sink.clone(), self.shared.clone());
        let (window, start_rtt) = (self.window.clone(), self.start_rtt.clone());
        let conn = self.conn(&worker, addr);
        let (orders, slots) = (conn.orders.clone(), conn.slots.clone());
        let fence = conn.fence.clone();
        self.tasks.spawn(async move {
            let (Ok(_slot), Ok(_order)) = (slots.acquire().await, window.acquire().await) else {
                return;
            };
            // An order that was superseded would be refused; not sending it says so sooner.
            let superseded = fence.load(Ordering::Acquire) > order.fence || sink.is_disconnected();
            // Failure: an owner is frozen with an order in hand, and wakes when another one has
            // settled that run and the worker has started anew, knowing no fencing token; the
            // task runs twice. Ownership is confirmed more often than it can be claimed.
            let superseded = superseded || !sink.holds_ownership();
            let outcome = match superseded {
                true => StartOutcome::NotSent,
                false => send_start(&orders, &order, &start_rtt).await,
            };
            shared.metrics.ordered("start", outcome_name(outcome));
            let report = Report::Started(worker, order.task, order.run, outcome);
            sink.deliver(report).await;
        });
    }

    fn stop(&mut self, worker: &WorkerId, addr: SocketAddr, order: StopOrder) {
        let shared = self.shared.clone();
        let orders = self.conn(worker, addr).orders.clone();
        let worker = worker.clone();
        self.tasks.spawn(async move {
            let outcome = orders.stop(&order, ORDER_TIMEOUT).await;
            shared.metrics.ordered("stop", "sent");
            log::info!(
                task:% = order.task, run = order.run, worker:% = worker, outcome:? = outcome;
                "stop ordered"
            );
        });
    }

    fn pace(&mut self, worker: &WorkerId, addr: SocketAddr, order: PaceOrder) {
        let (sink, shared) = (self.sink.clone(), self.shared.clone());
        let orders = self.conn(worker, addr).orders.clone();
        let worker = worker.clone();
        self.tasks.spawn(async move {
            let outcome = orders.pace(&order, ORDER_TIMEOUT).await;
            shared.metrics.ordered("pace", "sent");
            log::info!(
                task:% = order.task, run = order.run, worker:% = worker,
                percent = order.percent, outcome:? = outcome;
                "pace ordered"
            );
            sink.deliver(Report::Paced(worker, order, outcome)).await;
        });
    }
}

impl<C> Drop for OrderSender<C> {
    fn drop(&mut self) {
        for conn in self.workers.values() {
            if let Some(poll) = &conn.poll {
                poll.abort();
            }
        }
    }
}

/// Orders a start, and learns from how long its answer takes.
async fn send_start(orders: &Orders, order: &StartOrder, start_rtt: &RttEstimator) -> StartOutcome {
    let sent = Instant::now();
    let outcome = orders.start(order, start_rtt.limit()).await;
    match outcome {
        StartOutcome::Started | StartOutcome::Refused(_) => start_rtt.answered(sent.elapsed()),
        StartOutcome::Unknown => start_rtt.overdue(),
        StartOutcome::NotSent => {}
    }
    outcome
}

fn outcome_name(outcome: StartOutcome) -> &'static str {
    match outcome {
        StartOutcome::Started => "started",
        StartOutcome::Refused(_) => "refused",
        StartOutcome::NotSent => "not_sent",
        StartOutcome::Unknown => "unknown",
    }
}
