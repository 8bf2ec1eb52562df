//! Sends orders from this node to workers, for the owner on this node or on another one.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cactuswheel_adapter::{HttpClient, WorkerClient};
use cactuswheel_model::{Map, Time};
use cactuswheel_relay::NewestPoll;
use cactuswheel_rtt::RttEstimator;
use cactuswheel_work::{
    PaceOrder, PollOrder, StartOrder, StartOutcome, StopOrder, WorkerId, WorkerStatus,
};
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio_util::task::TaskTracker;

use crate::relay_request::{Envelope, Order, Report};
use crate::shared::Shared;

/// Start orders to one worker in flight; each takes up a connection. With two, a single lost
/// answer does not block all other starts.
const MAX_PER_WORKER: usize = 2;

/// Transfer time on the link that the start orders in flight may add up to.
///
/// Without this limit, a new owner on a narrow link could start hundreds of tasks at once. The
/// renewals of its ownership would wait behind these orders for seconds, and another node would
/// claim the ownership.
const MAX_LINK_TIME: Duration = Duration::from_millis(150);

/// Approximate size of an order and its answer on the link, in bytes.
const ORDER_SIZE: usize = 700;

/// Lower limit of the number of start orders in flight.
const MIN_IN_FLIGHT: usize = 16;

/// Upper limit of the timeout of an order; start orders use a shorter one derived from observed
/// round-trip times.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Upper limit of the timeout of a poll, on top of the wait that the poll itself asks for. A
/// shorter one is derived from observed round-trip times.
pub(crate) const POLL_TIMEOUT: Duration = Duration::from_millis(600);

/// Lower limit of a derived timeout. A node that has used up its processor quota is throttled for
/// a tenth of a second.
const MIN_TIMEOUT: Duration = Duration::from_millis(150);

/// Time without an order after which the connections to a worker are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of connected workers from which idle connections are closed.
const PRUNE_ABOVE: usize = 64;

/// Receiver of the outcomes of orders: the owner on whose behalf they are sent.
pub(crate) trait OrderSink: Clone + Send + Sync + 'static {
    /// Delivers the outcome of an order.
    fn deliver(&self, report: Report) -> impl Future<Output = ()> + Send;

    /// Whether reports are no longer received.
    fn is_disconnected(&self) -> bool;

    /// Whether the ownership under which orders are given was confirmed so recently that no other
    /// node can have claimed it.
    fn holds_ownership(&self) -> bool;
}

/// Sends orders to workers. Dropping it cancels the polls in flight.
pub(crate) struct OrderSender<C> {
    shared: Arc<Shared>,
    sink: C,
    workers: Map<WorkerId, WorkerConn>,
    /// Limits the start orders in flight to all workers.
    window: Arc<Semaphore>,
    /// Round-trip times of start orders.
    start_rtt: Arc<RttEstimator>,
    /// When idle connections were last closed.
    last_pruned: Time,
    tasks: TaskTracker,
}

/// The connections to one worker.
struct WorkerConn {
    addr: SocketAddr,
    orders: Arc<WorkerClient>,
    /// Limits the start orders in flight to this worker.
    slots: Arc<Semaphore>,
    /// Newest fencing token of any poll; start orders with an older one are not sent.
    fence: Arc<AtomicU64>,
    newest_poll: NewestPoll,
    /// The newest poll that was sent.
    sent_poll: Arc<Mutex<SentPoll>>,
    /// The poll in flight.
    poll: Option<AbortHandle>,
    last_used: Time,
}

/// A poll that was sent to a worker.
#[derive(Debug, Clone, Copy, Default)]
struct SentPoll {
    number: u64,
    /// Incarnation of the worker that it was meant for.
    born: u64,
}

impl<C: OrderSink> OrderSender<C> {
    /// Creates a sender that reports outcomes to `sink`.
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

    /// Sends an order in the background.
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

    /// Reports a start order as not sent. Ignores other orders.
    pub(crate) fn reject(&self, envelope: Envelope) {
        let Order::Start(order) = envelope.order else {
            return;
        };
        let sink = self.sink.clone();
        let (task, run) = (order.task, order.run);
        let report = Report::Started(envelope.worker, task, run, StartOutcome::NotSent);
        self.tasks.spawn(async move { sink.deliver(report).await });
    }

    /// Closes the connections to a worker that is no longer listed.
    pub(crate) fn remove_worker(&mut self, id: &WorkerId) {
        self.workers.remove(id);
    }

    /// Closes connections that have been idle for [`IDLE_TIMEOUT`], if there are many.
    fn prune(&mut self) {
        let now = self.shared.clock.now();
        if self.workers.len() < PRUNE_ABOVE || now.since(self.last_pruned) < IDLE_TIMEOUT {
            return;
        }
        self.last_pruned = now;
        self.workers
            .retain(|_, conn| now.since(conn.last_used) < IDLE_TIMEOUT);
    }

    /// Returns the connections to a worker, which are replaced if its address has changed.
    fn conn(&mut self, id: &WorkerId, addr: SocketAddr) -> &mut WorkerConn {
        let now = self.shared.clock.now();
        let fresh = || WorkerConn {
            addr,
            orders: Arc::new(WorkerClient::new(id.clone(), HttpClient::new(addr))),
            slots: Arc::new(Semaphore::new(MAX_PER_WORKER)),
            fence: Arc::new(AtomicU64::new(0)),
            newest_poll: NewestPoll::default(),
            sent_poll: Arc::default(),
            poll: None,
            last_used: now,
        };
        let conn = self.workers.entry(id.clone()).or_insert_with(fresh);
        if conn.addr != addr {
            let newest_poll = std::mem::take(&mut conn.newest_poll);
            *conn = WorkerConn {
                newest_poll,
                ..fresh()
            };
        }
        conn.last_used = now;
        conn
    }

    /// Sends a poll in place of the poll in flight, which is cancelled. Ignores a poll that is older
    /// than one before.
    fn poll(&mut self, worker: WorkerId, addr: SocketAddr, number: u64, order: PollOrder) {
        let sink = self.sink.clone();
        let queued = self.shared.settings.link.queue_time();
        let limit = (self.start_rtt.retry_timeout() + queued).min(POLL_TIMEOUT);
        let conn = self.conn(&worker, addr);
        conn.fence.fetch_max(order.fence, Ordering::AcqRel);
        if !conn.newest_poll.advance(number) {
            log::info!(worker:% = worker, poll = number; "poll ignored: a newer one was sent before");
            return;
        }
        *lock(&conn.sent_poll) = SentPoll {
            number,
            born: order.born,
        };
        if let Some(previous) = conn.poll.take() {
            previous.abort();
        }
        let orders = conn.orders.clone();
        let task = tokio::spawn(async move {
            let answer = orders.poll_runs(&order, limit).await;
            sink.deliver(Report::Polled(worker, number, answer)).await;
        });
        conn.poll = Some(task.abort_handle());
    }

    fn start(&mut self, worker: WorkerId, addr: SocketAddr, order: StartOrder) {
        let (sink, shared) = (self.sink.clone(), self.shared.clone());
        let (window, start_rtt) = (self.window.clone(), self.start_rtt.clone());
        let conn = self.conn(&worker, addr);
        let (orders, slots) = (conn.orders.clone(), conn.slots.clone());
        let (fence, sent_poll) = (conn.fence.clone(), conn.sent_poll.clone());
        self.tasks.spawn(async move {
            let (Ok(_slot), Ok(_order)) = (slots.acquire().await, window.acquire().await) else {
                return;
            };
            // Read before the fencing token is compared, so that the order has at least the token of
            // that poll.
            let poll = *lock(&sent_poll);
            // The worker would refuse a superseded order anyway. Not sending it gives the outcome
            // sooner.
            let superseded = fence.load(Ordering::Acquire) > order.fence || sink.is_disconnected();
            // The fencing token alone does not cover an owner that is suspended just before it
            // sends an order and resumes after another owner has settled that run and the worker
            // has restarted without knowledge of any token: the task would run twice. Checking that
            // the ownership is confirmed suffices, since the confirmation expires before another
            // node can claim the ownership.
            let superseded = superseded || !sink.holds_ownership();
            let (outcome, status) = match superseded {
                true => (StartOutcome::NotSent, None),
                false => send_start(&orders, &order, &start_rtt).await,
            };
            shared.metrics.ordered("start", outcome_name(outcome));
            if let Some(status) = status {
                log::info!(
                    task:% = order.task, run = order.run, worker:% = worker,
                    born = order.born, found = status.born, poll = poll.number;
                    "start order not sent: another incarnation is at the address"
                );
                // If the newest poll was meant for the same incarnation, it would only be answered
                // with its timeout. The new status answers it, and the task can start again at once.
                if poll.born == order.born {
                    sink.deliver(Report::Polled(worker.clone(), poll.number, Ok(status)))
                        .await;
                }
            }
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

/// Sends a start order, and updates the round-trip time estimate. The status is that of another
/// incarnation which responded instead of the intended one.
async fn send_start(
    orders: &WorkerClient,
    order: &StartOrder,
    start_rtt: &RttEstimator,
) -> (StartOutcome, Option<WorkerStatus>) {
    let sent = Instant::now();
    let (outcome, status) = orders.start(order, start_rtt.retry_timeout()).await;
    match outcome {
        StartOutcome::Started | StartOutcome::Refused(_) => start_rtt.record_answer(sent.elapsed()),
        StartOutcome::Unknown => start_rtt.record_timeout(),
        StartOutcome::NotSent => {}
    }
    (outcome, status)
}

fn lock(poll: &Mutex<SentPoll>) -> MutexGuard<'_, SentPoll> {
    poll.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Label of an outcome in the metrics.
fn outcome_name(outcome: StartOutcome) -> &'static str {
    match outcome {
        StartOutcome::Started => "started",
        StartOutcome::Refused(_) => "refused",
        StartOutcome::NotSent => "not_sent",
        StartOutcome::Unknown => "unknown",
    }
}
