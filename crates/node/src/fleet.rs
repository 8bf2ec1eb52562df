//! The owner's control of instances: lists them and executes the planner's actions.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_adapter::{InstanceClient, KeyedRecord, Partition, STATUS_TOPIC, wave_status};
use cactuswheel_capacity::{
    Action, History, LastOwner, OrderRecord, Planner, Reservation, Snapshot, Timings, reservations,
};
use cactuswheel_cell::{Cell, encode};
use cactuswheel_demand::HoldChange;
use cactuswheel_model::{Map, Time};
use cactuswheel_work::{
    Instance, InstanceName, InstanceOrder, InstanceOutcome, OrderToken, ServiceName, WorkerId,
};
use rand::Rng;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::blockage::blockage;
use crate::event::Event;
use crate::record_writer::RecordWriter;
use crate::shared::Shared;
use crate::topics::{MAINTAINED, WAVES};

/// Interval between plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between lists of instances while the list is changing.
const BUSY_LIST_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between lists of instances while the list stays the same.
const IDLE_LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Share of the link that lists of instances may take up.
///
/// Without this limit, a list of every instance three times a second would make up a third of what
/// the owner reads, and on a narrow link orders and renewals of the ownership would wait behind it.
const LIST_LINK_SHARE: f64 = 0.05;

/// Upper limit of the rate of lists on any link, in bytes a second. More frequent lists would bring
/// little, since orders and arrivals are known without them.
const MAX_LIST_RATE: f64 = 200_000.0;

/// Approximate size of an instance in the list, in bytes.
const INSTANCE_SIZE: usize = 200;

/// Upper limit of the interval between lists, since the planner issues no orders based on an
/// old list.
const MAX_LIST_INTERVAL: Duration = Duration::from_millis(1_500);

/// Timeout of a call to the platform's instance service.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Margin on the time for which an instance stays reserved after an order, on top of the order time
/// in the settings and the timeout of the call that issues the order.
const RESERVATION_MARGIN: Duration = Duration::from_millis(400);

/// Status of an order that was not issued, because it was not recorded or the ownership has ended.
const NOT_RECORDED: u16 = 0;

/// Number of low bits of an order token that count an owner's orders; the bits above hold the
/// epoch.
const TOKEN_BITS: u32 = 20;

/// Partition in which the status of waves is published.
const WAVE_STATUS: Partition = Partition {
    topic: STATUS_TOPIC,
    part: 0,
};

/// The owner's control of instances.
pub(crate) struct Fleet {
    shared: Arc<Shared>,
    planner: Planner,
    /// Planned orders on their way to the task that issues them. The queue is unbounded, but each
    /// instance has at most one order in flight.
    orders: mpsc::UnboundedSender<Vec<QueuedOrder>>,
    /// Records when each wave began.
    waves: RecordWriter,
    /// Records instances that have been maintained.
    maintained: RecordWriter,
    /// Publishes the status of waves to the operators.
    status: RecordWriter,
    /// The newest list of instances.
    instances: Vec<Instance>,
    /// When the request for that list was sent.
    listed_at: Time,
    /// When the planner last ran.
    planned_at: Time,
    /// Instances that an earlier owner ordered recently, and until when they are reserved: no
    /// orders are issued to them before then.
    ///
    /// Otherwise two owners could order the same instance within seconds of each other, and it
    /// would be moved back and forth while it has work. An order is recorded before it is issued,
    /// so an earlier owner cannot have ordered an instance that has no record here.
    reserved: Map<InstanceName, Reservation>,
    /// No instance may be ordered before this time.
    blocked_until: Time,
    /// Backoff after orders that could not be recorded or issued.
    backoff: Backoff,
    /// Fencing token of the last order.
    token: u64,
}

impl Fleet {
    /// Starts the tasks that list instances, issue orders and write records. `history` and `orders`
    /// are what earlier owners have recorded; `orders` is `None` if they could not be read, and
    /// `last` is what is known of the previous owner. Returns `None` if the settings name no
    /// instance service.
    pub(crate) fn start(
        shared: Arc<Shared>,
        events: mpsc::Sender<Event>,
        epoch: u64,
        history: History,
        orders: Option<Vec<(InstanceName, OrderRecord)>>,
        last: Option<LastOwner>,
    ) -> Option<Self> {
        let addr = shared.settings.instances?;
        let service = Arc::new(InstanceClient::new(addr));
        tokio::spawn(list_instances(
            shared.clone(),
            service.clone(),
            events.clone(),
        ));
        let times = Timings {
            maintenance: shared.settings.times.maintenance,
        };
        let policy = shared.settings.policies.pools.clone();
        let hold = shared.settings.policies.hold.clone();
        let writer = |to| RecordWriter::start(shared.clone(), events.clone(), to);
        let (sender, queue) = mpsc::unbounded_channel();
        tokio::spawn(issue_orders(shared.clone(), service, events.clone(), queue));
        let wait = shared.settings.times.order.duration() + CALL_TIMEOUT + RESERVATION_MARGIN;
        let now = shared.clock.now();
        // Without the records, any instance may have been ordered recently.
        let blocked = orders.is_none().then(|| now.after(wait));
        let reserved = reservations(now, wait, orders.unwrap_or_default(), last);
        log::info!(
            instances = reserved.len() as u64, dated = last.is_some(), known = blocked.is_none();
            "instances reserved"
        );
        Some(Self {
            reserved,
            blocked_until: blocked.unwrap_or_default(),
            planner: Planner::new(times, history)
                .with_policy(policy)
                .with_hold(hold),
            instances: Vec::new(),
            listed_at: Time::default(),
            planned_at: Time::default(),
            backoff: Backoff::default(),
            token: epoch << TOKEN_BITS,
            orders: sender,
            waves: writer(WAVES),
            maintained: writer(MAINTAINED),
            status: writer(WAVE_STATUS),
            shared,
        })
    }

    /// Takes a new list of instances, requested at `sent`.
    pub(crate) fn set_instances(&mut self, instances: Vec<Instance>, sent: Time) {
        self.instances = instances;
        self.listed_at = sent;
    }

    /// Handles the outcome of an order.
    pub(crate) fn order_done(
        &mut self,
        cell: &mut Cell,
        order: &InstanceOrder,
        worker: Option<&WorkerId>,
        outcome: InstanceOutcome,
    ) {
        match outcome {
            InstanceOutcome::Refused(NOT_RECORDED) => {
                let spread = rand::rng().random_range(0.0..1.0);
                self.backoff.refused(self.shared.clock.now(), spread);
            }
            _ => self.backoff.accepted(),
        }
        let now = self.shared.clock.now();
        let pending = self
            .planner
            .record_outcome(now, instance_of(order), outcome);
        let Some(worker) = worker else {
            return;
        };
        match outcome {
            InstanceOutcome::Done => cell.retire(worker),
            _ if pending => {}
            _ => cell.reopen(worker),
        }
    }

    /// Runs the planner if [`PLAN_INTERVAL`] has passed, and executes its actions.
    pub(crate) fn plan(&mut self, cell: &mut Cell) {
        let now = self.shared.clock.now();
        if now.since(self.planned_at) < PLAN_INTERVAL {
            return;
        }
        self.planned_at = now;
        let blockage = blockage(&self.shared, cell, now);
        if let Some(HoldChange::Ended(end)) = self.planner.observe(now, blockage) {
            self.shared.metrics.hold_ended(end.held);
        }
        // Without a confirmed ownership, another node may own the cell already.
        if !self.shared.holds_ownership()
            || now < self.blocked_until
            || !self.backoff.is_elapsed(now)
        {
            return;
        }
        let waves = self.shared.waves.load_full().unwrap_or_default();
        let (loads, workers) = (cell.loads(), cell.workers());
        let spare = self.spare_services();
        self.reserved.retain(|_, r| r.until > now);
        let reserved = self.reserved.iter().map(|(name, r)| (name.clone(), r.wave));
        let reserved = reserved.collect();
        let evacuated = self.shared.evacuated.load();
        let snapshot = Snapshot {
            now,
            loads: &loads,
            workers: &workers,
            instances: &self.instances,
            listed: self.listed_at,
            waves: &waves,
            spare: &spare,
            reserved: &reserved,
            evacuated: &evacuated,
        };
        let mut orders = Vec::new();
        for action in self.planner.plan(&snapshot) {
            self.execute(cell, action, &mut orders);
        }
        cell.expect_maintenance(self.planner.maintenance_due());
        if !orders.is_empty() && self.orders.send(orders).is_err() {
            log::error!("instance orders dropped: the task that issues them has ended");
        }
    }

    /// Names of the spare services, whose instances are off until they are moved to another pool.
    fn spare_services(&self) -> Vec<ServiceName> {
        let Some(config) = self.shared.config.load_full() else {
            return Vec::new();
        };
        let spare = config.services.values().filter(|s| s.spare);
        spare.map(|s| s.name.clone()).collect()
    }

    /// Executes an action of the planner; orders are collected in `orders`.
    fn execute(&mut self, cell: &mut Cell, action: Action, orders: &mut Vec<QueuedOrder>) {
        match action {
            Action::Order { order, worker } => {
                // No run may start on the worker between now and the order's arrival.
                if let Some(worker) = &worker {
                    cell.begin_removal(worker);
                }
                // Each order has its own token, so that an earlier order that arrives late is
                // fenced off by a later one and cannot move the instance back.
                self.token += 1;
                orders.push(QueuedOrder {
                    order,
                    worker,
                    token: OrderToken {
                        holder: self.shared.settings.node.clone(),
                        fence: self.token,
                    },
                });
            }
            Action::Close { worker, evict } => cell.close(&worker, evict),
            Action::Vacate { worker, by } => cell.vacate(&worker, by),
            Action::Reopen(worker) => cell.reopen(&worker),
            Action::RecordWaveStart { wave } => {
                let at = encode(&self.shared.clock.wall());
                self.waves.write(KeyedRecord::new(wave.to_string(), at));
            }
            Action::RecordMaintained { wave, instance } => {
                log::info!(wave = wave, instance:% = instance; "instance maintained");
                let key = format!("{wave}/{instance}");
                self.maintained.write(KeyedRecord::new(key, vec![1]));
            }
            Action::ReportStatus { wave, complete } => {
                log::info!(wave = wave, complete = complete; "publishing wave status");
                let (key, value) = wave_status(wave, complete);
                self.status.write(KeyedRecord::new(key, value));
            }
        }
    }
}

/// Records orders and then issues them, until this node no longer runs the cell.
///
/// An append to the store can take a quarter of a second, and the store handles one at a time. If
/// each plan appended its own orders, the appends would queue up, and the orders planned in the
/// first second would time out before they are recorded. The orders of all plans that arrive
/// during an append are therefore recorded together in the next one.
async fn issue_orders(
    shared: Arc<Shared>,
    service: Arc<InstanceClient>,
    events: mpsc::Sender<Event>,
    mut queue: mpsc::UnboundedReceiver<Vec<QueuedOrder>>,
) {
    while let Some(mut orders) = queue.recv().await {
        while let Ok(more) = queue.try_recv() {
            orders.extend(more);
        }
        let (life, at) = (shared.life, shared.clock.now());
        let records = orders.iter().map(|o| {
            let wave = wave_of(&o.order);
            let record = OrderRecord { life, at, wave };
            KeyedRecord::new(instance_of(&o.order).as_str(), encode(&record))
        });
        let records: Vec<KeyedRecord> = records.collect();
        let recorded = shared.orders.write(&shared.store, &records).await;
        if let Err(e) = &recorded {
            log::info!(error:% = e; "failed to record instance orders; not issuing them");
        }
        for item in orders {
            let (shared, service) = (shared.clone(), service.clone());
            let (events, recorded) = (events.clone(), recorded.is_ok());
            tokio::spawn(async move {
                let outcome = issue(&shared, &service, &events, &item, recorded).await;
                shared.metrics.instance_ordered(outcome_name(outcome));
                log::info!(
                    order:? = item.order, token = item.token.fence, outcome:? = outcome;
                    "instance order finished"
                );
                let event = Event::InstanceOrdered(item.order, item.worker, outcome);
                let _ = events.send(event).await;
            });
        }
    }
}

/// An order waiting to be recorded and issued.
struct QueuedOrder {
    order: InstanceOrder,
    /// The worker on the instance.
    worker: Option<WorkerId>,
    token: OrderToken,
}

/// Issues an order, unless it was not recorded or this node may no longer own the cell.
async fn issue(
    shared: &Shared,
    service: &InstanceClient,
    events: &mpsc::Sender<Event>,
    item: &QueuedOrder,
    recorded: bool,
) -> InstanceOutcome {
    let is_owner = !events.is_closed() && shared.holds_ownership();
    match recorded && is_owner {
        true => service.order(&item.order, &item.token, CALL_TIMEOUT).await,
        false => InstanceOutcome::Refused(NOT_RECORDED),
    }
}

/// Lists instances periodically, until the owner on this node has stopped.
async fn list_instances(
    shared: Arc<Shared>,
    service: Arc<InstanceClient>,
    events: mpsc::Sender<Event>,
) {
    let mut failing = false;
    let mut previous: Option<Vec<Instance>> = None;
    while !events.is_closed() {
        let sent = shared.clock.now();
        match service.list(CALL_TIMEOUT).await {
            Ok(instances) => {
                if std::mem::take(&mut failing) {
                    log::info!("instance list available again");
                }
                let size = instances.len() * INSTANCE_SIZE;
                let min_pause = shared
                    .settings
                    .link
                    .transfer_time(size)
                    .div_f64(LIST_LINK_SHARE);
                let min_pause = min_pause.max(Duration::from_secs_f64(size as f64 / MAX_LIST_RATE));
                let unchanged = previous.as_ref() == Some(&instances);
                previous = Some(instances.clone());
                let _ = events.send(Event::Instances(instances, sent)).await;
                let pause = if unchanged {
                    IDLE_LIST_INTERVAL
                } else {
                    BUSY_LIST_INTERVAL
                };
                sleep(pause.max(min_pause.min(MAX_LIST_INTERVAL))).await;
            }
            Err(e) => {
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(error:% = e; "cannot list instances; retrying");
                }
                sleep(BUSY_LIST_INTERVAL).await;
            }
        }
    }
}

/// The instance that an order is for.
fn instance_of(order: &InstanceOrder) -> &InstanceName {
    match order {
        InstanceOrder::Move { instance, .. } | InstanceOrder::Maintain { instance, .. } => instance,
    }
}

/// The maintenance wave that an order belongs to.
fn wave_of(order: &InstanceOrder) -> Option<u64> {
    match order {
        InstanceOrder::Maintain { wave, .. } => Some(*wave),
        InstanceOrder::Move { .. } => None,
    }
}

/// Label of an outcome in the metrics.
fn outcome_name(outcome: InstanceOutcome) -> &'static str {
    match outcome {
        InstanceOutcome::Done => "done",
        InstanceOutcome::Fence => "fence",
        InstanceOutcome::Busy => "busy",
        InstanceOutcome::OtherWave => "other_wave",
        InstanceOutcome::Invalid => "invalid",
        InstanceOutcome::Refused(_) => "refused",
        InstanceOutcome::Unknown => "unknown",
    }
}
