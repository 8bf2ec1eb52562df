//! Carries out what the cell asks for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cactuswheel_adapter::{Link, Orders, PolicyService};
use cactuswheel_cell::{Batch, Output};
use cactuswheel_model::Map;
use cactuswheel_work::{
    HoldOrder, JobId, PaceOrder, StartOrder, StartOutcome, StepId, StopOrder, WorkerId,
};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::AbortHandle;
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

use crate::journal_writer::JournalWriter;
use crate::owner::Event;
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

/// Time for an answer to an order. Workers answer in milliseconds; a longer silence means that
/// the answer will not come.
const ORDER_LIMIT: Duration = Duration::from_millis(500);

/// Time for an answer to a look, beyond its own wait.
const LOOK_LIMIT: Duration = Duration::from_millis(600);

/// Pause after the policy service gave no answer: it takes one call of a node at a time.
const ADVICE_PAUSE: Duration = Duration::from_millis(30);

/// Questions to the policy service at a time. It takes one of a node after the other and turns
/// a node away that has 32 waiting; more at once only wait there instead of here.
const QUESTIONS: usize = 4;

/// Time for an answer of the policy service beyond what it says that it takes.
const ADVICE_LIMIT: Duration = Duration::from_millis(2_000);

/// Carries out what the cell asks for, until it is dropped.
pub(crate) struct Hands {
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
    journal: JournalWriter,
    workers: Map<WorkerId, Hand>,
    /// Orders that may be under way.
    window: Arc<Semaphore>,
    policy: Option<Arc<PolicyService>>,
    /// Questions to the policy service that are under way.
    questions: Arc<Semaphore>,
    tasks: TaskTracker,
}

/// What reaches one worker.
struct Hand {
    addr: SocketAddr,
    orders: Arc<Orders>,
    lanes: Arc<Semaphore>,
    /// Newest fencing token that any order carried; older orders are not sent any more.
    fence: Arc<AtomicU64>,
    look: Option<AbortHandle>,
}

impl Hands {
    pub(crate) fn new(
        shared: Arc<Shared>,
        events: mpsc::Sender<Event>,
        epoch: u64,
        tasks: TaskTracker,
    ) -> Self {
        let policy = shared
            .settings
            .policy
            .map(|a| Arc::new(PolicyService::new(a)));
        let orders = shared.settings.link.bytes_in(WINDOW) / ORDER_SIZE;
        let orders = orders.clamp(LEAST_ORDERS, Semaphore::MAX_PERMITS);
        Self {
            window: Arc::new(Semaphore::new(orders)),
            journal: JournalWriter::new(shared.clone(), events.clone(), epoch),
            shared,
            events,
            workers: Map::default(),
            policy,
            questions: Arc::new(Semaphore::new(QUESTIONS)),
            tasks,
        }
    }

    pub(crate) fn carry_out(&mut self, output: Output) {
        match output {
            Output::Append(batch) => self.append(batch),
            Output::DropSubmissions(jobs) => self.drop_submissions(jobs),
            Output::Look {
                worker,
                addr,
                look,
                order,
            } => self.look(worker, addr, look, order),
            Output::Start {
                worker,
                addr,
                order,
            } => self.start(worker, addr, order),
            Output::Stop {
                worker,
                addr,
                order,
            } => self.stop(&worker, addr, order),
            Output::Pace {
                worker,
                addr,
                order,
            } => self.pace(&worker, addr, order),
            Output::Ask { step, workers } => self.ask(step, workers),
            // Its owner acts on it.
            Output::Deposed { .. } => {}
        }
    }

    fn drop_submissions(&mut self, jobs: Vec<JobId>) {
        let journal = self.journal.clone();
        self.tasks.spawn(async move { journal.forget(&jobs).await });
    }

    /// A worker is listed no more: its connections go.
    pub(crate) fn forget(&mut self, id: &WorkerId) {
        self.workers.remove(id);
    }

    fn hand(&mut self, id: &WorkerId, addr: SocketAddr) -> &mut Hand {
        let fresh = || Hand {
            addr,
            orders: Arc::new(Orders::new(id.clone(), Link::new(addr))),
            lanes: Arc::new(Semaphore::new(LANES)),
            fence: Arc::new(AtomicU64::new(0)),
            look: None,
        };
        let hand = self.workers.entry(id.clone()).or_insert_with(fresh);
        if hand.addr != addr {
            *hand = fresh();
        }
        hand
    }

    fn look(&mut self, worker: WorkerId, addr: SocketAddr, look: u64, order: HoldOrder) {
        let events = self.events.clone();
        let hand = self.hand(&worker, addr);
        hand.fence.fetch_max(order.fence, Ordering::AcqRel);
        if let Some(before) = hand.look.take() {
            before.abort();
        }
        let orders = hand.orders.clone();
        let task = tokio::spawn(async move {
            let answer = orders.hold(&order, LOOK_LIMIT).await;
            let _ = events.send(Event::Looked(worker, look, answer)).await;
        });
        hand.look = Some(task.abort_handle());
    }

    fn start(&mut self, worker: WorkerId, addr: SocketAddr, order: StartOrder) {
        let (events, shared) = (self.events.clone(), self.shared.clone());
        let hand = self.hand(&worker, addr);
        let (orders, lanes) = (hand.orders.clone(), hand.lanes.clone());
        let fence = hand.fence.clone();
        let window = self.window.clone();
        self.tasks.spawn(async move {
            let (Ok(_lane), Ok(_order)) = (lanes.acquire().await, window.acquire().await) else {
                return;
            };
            // An order that was overtaken would be refused; not sending it says so sooner.
            let overtaken = fence.load(Ordering::Acquire) > order.fence || events.is_closed();
            // Failure: an owner is frozen with an order in hand, and wakes when another one has
            // settled that run and the worker has started anew, knowing no fencing token; the
            // task runs twice. Ownership is confirmed more often than it can be claimed.
            let overtaken = overtaken || !shared.leads();
            let outcome = match overtaken {
                true => StartOutcome::NotSent,
                false => orders.start(&order, ORDER_LIMIT).await,
            };
            shared.metrics.ordered("start", outcome_name(outcome));
            let event = Event::Started(worker, order.task, order.run, outcome);
            let _ = events.send(event).await;
        });
    }

    fn stop(&mut self, worker: &WorkerId, addr: SocketAddr, order: StopOrder) {
        let shared = self.shared.clone();
        let orders = self.hand(worker, addr).orders.clone();
        let worker = worker.clone();
        self.tasks.spawn(async move {
            let outcome = orders.stop(&order, ORDER_LIMIT).await;
            shared.metrics.ordered("stop", "sent");
            log::info!(
                task:% = order.task, run = order.run, worker:% = worker, outcome:? = outcome;
                "stop ordered"
            );
        });
    }

    fn pace(&mut self, worker: &WorkerId, addr: SocketAddr, order: PaceOrder) {
        let (shared, events) = (self.shared.clone(), self.events.clone());
        let orders = self.hand(worker, addr).orders.clone();
        let worker = worker.clone();
        self.tasks.spawn(async move {
            let outcome = orders.pace(&order, ORDER_LIMIT).await;
            shared.metrics.ordered("pace", "sent");
            log::info!(
                task:% = order.task, run = order.run, worker:% = worker,
                percent = order.percent, outcome:? = outcome;
                "pace ordered"
            );
            let _ = events.send(Event::Paced(worker, order, outcome)).await;
        });
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
            let answer = policy.ask(step, &workers, ADVICE_LIMIT).await;
            if let Err(e) = &answer {
                log::warn!(step:% = step, workers = workers.len() as u64, error:% = e; "no advice");
                sleep(ADVICE_PAUSE).await;
            }
            let good = answer.ok().map(|a| a.good);
            let _ = events.send(Event::Advised(step, good)).await;
        });
    }

    fn append(&mut self, batch: Batch) {
        let writer = self.journal.clone();
        self.tasks.spawn(async move { writer.append(batch).await });
    }
}

impl Drop for Hands {
    fn drop(&mut self) {
        for hand in self.workers.values() {
            if let Some(look) = &hand.look {
                look.abort();
            }
        }
    }
}

fn outcome_name(outcome: StartOutcome) -> &'static str {
    match outcome {
        StartOutcome::Started => "started",
        StartOutcome::Refused(_) => "refused",
        StartOutcome::NotSent => "not_sent",
        StartOutcome::Unknown => "unknown",
    }
}
