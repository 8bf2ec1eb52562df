//! Sends orders to workers from this node, for its own cell or for an owner on another node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use cactuswheel_adapter::{Link, Orders};
use cactuswheel_model::{Map, Time};
use cactuswheel_rtt::RttEstimator;
use cactuswheel_work::{PaceOrder, PollOrder, StartOrder, StartOutcome, StopOrder, WorkerId};
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio_util::task::TaskTracker;

use crate::relay_request::{Envelope, Order, Report};
use crate::shared::Shared;

/// Orders to one worker that are under way at a time. Two keep one lost answer from holding all
/// others up; each takes a connection.
const LANES: usize = 2;

/// Time that orders under way may take on the link.
///
/// Failure: a new owner starts hundreds of tasks at once over a narrow link, the renewals of its
/// ownership wait behind them for seconds, and the ownership is claimed by the next node.
const WINDOW: Duration = Duration::from_millis(150);

/// About what an order and its answer take up on the link, in bytes.
const ORDER_SIZE: usize = 700;

/// Least number of orders under way.
const LEAST_ORDERS: usize = 16;

/// Longest wait for an answer to an order; a shorter one is learnt from how long answers take.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for an answer to a look, beyond its own wait; a shorter one is learnt.
pub(crate) const LOOK_TIMEOUT: Duration = Duration::from_millis(600);

/// Shortest wait for an answer. A node that has used up its processor stands still for a tenth
/// of a second.
const MIN_TIMEOUT: Duration = Duration::from_millis(150);

/// Time without an order after which a worker's connections go.
const UNUSED: Duration = Duration::from_secs(20);

/// Workers that are reached before unused ones are looked for.
const PRUNE_ABOVE: usize = 64;

/// Where the outcome of orders is reported.
pub(crate) trait OrderSink: Clone + Send + Sync + 'static {
    /// Tells what became of an order.
    fn tell(&self, report: Report) -> impl Future<Output = ()> + Send;

    /// Whether nobody takes reports any more.
    fn is_gone(&self) -> bool;

    /// Whether the ownership under which orders are given was confirmed so lately that nobody
    /// else can have claimed it.
    fn leads(&self) -> bool;
}

/// Sends orders to workers, until it is dropped.
pub(crate) struct OrderSender<C> {
    shared: Arc<Shared>,
    sink: C,
    workers: Map<WorkerId, WorkerConn>,
    /// Orders that may be under way.
    window: Arc<Semaphore>,
    /// How long workers' answers to orders take.
    answers: Arc<RttEstimator>,
    pruned: Time,
    tasks: TaskTracker,
}

/// The connections to one worker.
struct WorkerConn {
    addr: SocketAddr,
    orders: Arc<Orders>,
    lanes: Arc<Semaphore>,
    /// Newest fencing token that any order carried; older orders are not sent any more.
    fence: Arc<AtomicU64>,
    look: Option<AbortHandle>,
    used: Time,
}

impl<C: OrderSink> OrderSender<C> {
    pub(crate) fn new(shared: Arc<Shared>, sink: C) -> Self {
        let orders = shared.settings.link.bytes_in(WINDOW) / ORDER_SIZE;
        let orders = orders.clamp(LEAST_ORDERS, Semaphore::MAX_PERMITS);
        Self {
            sink,
            workers: Map::default(),
            window: Arc::new(Semaphore::new(orders)),
            answers: Arc::new(RttEstimator::new(MIN_TIMEOUT, ORDER_TIMEOUT)),
            pruned: shared.clock.now(),
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
            Order::Look(look, order) => self.look(worker, addr, look, order),
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
        self.tasks.spawn(async move { sink.tell(report).await });
    }

    /// A worker is listed no more: its connections go.
    pub(crate) fn forget(&mut self, id: &WorkerId) {
        self.workers.remove(id);
    }

    fn prune(&mut self) {
        let now = self.shared.clock.now();
        if self.workers.len() < PRUNE_ABOVE || now.since(self.pruned) < UNUSED {
            return;
        }
        self.pruned = now;
        self.workers.retain(|_, conn| now.since(conn.used) < UNUSED);
    }

    fn conn(&mut self, id: &WorkerId, addr: SocketAddr) -> &mut WorkerConn {
        let now = self.shared.clock.now();
        let fresh = || WorkerConn {
            addr,
            orders: Arc::new(Orders::new(id.clone(), Link::new(addr))),
            lanes: Arc::new(Semaphore::new(LANES)),
            fence: Arc::new(AtomicU64::new(0)),
            look: None,
            used: now,
        };
        let conn = self.workers.entry(id.clone()).or_insert_with(fresh);
        if conn.addr != addr {
            *conn = fresh();
        }
        conn.used = now;
        conn
    }

    fn look(&mut self, worker: WorkerId, addr: SocketAddr, look: u64, order: PollOrder) {
        let sink = self.sink.clone();
        let queued = self.shared.settings.link.queue_time();
        let limit = (self.answers.retry_timeout() + queued).min(LOOK_TIMEOUT);
        let conn = self.conn(&worker, addr);
        conn.fence.fetch_max(order.fence, Ordering::AcqRel);
        if let Some(before) = conn.look.take() {
            before.abort();
        }
        let orders = conn.orders.clone();
        let task = tokio::spawn(async move {
            let answer = orders.hold(&order, limit).await;
            sink.tell(Report::Looked(worker, look, answer)).await;
        });
        conn.look = Some(task.abort_handle());
    }

    fn start(&mut self, worker: WorkerId, addr: SocketAddr, order: StartOrder) {
        let (sink, shared) = (self.sink.clone(), self.shared.clone());
        let (window, answers) = (self.window.clone(), self.answers.clone());
        let conn = self.conn(&worker, addr);
        let (orders, lanes) = (conn.orders.clone(), conn.lanes.clone());
        let fence = conn.fence.clone();
        self.tasks.spawn(async move {
            let (Ok(_lane), Ok(_order)) = (lanes.acquire().await, window.acquire().await) else {
                return;
            };
            // An order that was overtaken would be refused; not sending it says so sooner.
            let overtaken = fence.load(Ordering::Acquire) > order.fence || sink.is_gone();
            // Failure: an owner is frozen with an order in hand, and wakes when another one has
            // settled that run and the worker has started anew, knowing no fencing token; the
            // task runs twice. Ownership is confirmed more often than it can be claimed.
            let overtaken = overtaken || !sink.leads();
            let outcome = match overtaken {
                true => StartOutcome::NotSent,
                false => start_within(&orders, &order, &answers).await,
            };
            shared.metrics.ordered("start", outcome_name(outcome));
            let report = Report::Started(worker, order.task, order.run, outcome);
            sink.tell(report).await;
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
            sink.tell(Report::Paced(worker, order, outcome)).await;
        });
    }
}

impl<C> Drop for OrderSender<C> {
    fn drop(&mut self) {
        for conn in self.workers.values() {
            if let Some(look) = &conn.look {
                look.abort();
            }
        }
    }
}

/// Orders a start, and learns from how long its answer takes.
async fn start_within(orders: &Orders, order: &StartOrder, answers: &RttEstimator) -> StartOutcome {
    let sent = Instant::now();
    let outcome = orders.start(order, answers.retry_timeout()).await;
    match outcome {
        StartOutcome::Started | StartOutcome::Refused(_) => answers.record_answer(sent.elapsed()),
        StartOutcome::Unknown => answers.record_timeout(),
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
