//! Instances, for the cell's owner: lists them, carries out what the planner asks for.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_adapter::{Instances, Keyed, Partition, STATUS_TOPIC, wave_status};
use cactuswheel_capacity::{
    Action, History, LastOwner, OrderRecord, Planner, Reserved, Snapshot, Times, reserved,
};
use cactuswheel_cell::{Cell, encode};
use cactuswheel_model::{Map, Time};
use cactuswheel_work::{
    Instance, InstanceName, InstanceOrder, InstanceOutcome, OrderToken, ServiceName, WorkerId,
};
use rand::Rng;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::event::Event;
use crate::record_writer::RecordWriter;
use crate::shared::Shared;
use crate::topics::{MAINTAINED, WAVES};

/// Time between plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Time between lists while something is on the way, and while nothing is.
const BUSY_LIST_INTERVAL: Duration = Duration::from_millis(300);
const IDLE_LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Share of the link that lists of instances may take up.
///
/// Failure: a list of every instance takes up a third of what the owner reads, three times a
/// second; on a narrow link orders and renewals of the ownership wait behind it.
const LIST_LINK_SHARE: f64 = 0.05;

/// Bytes a second that lists of instances may take whatever the link: what a list shows sooner
/// changes little, since orders and arrivals are known without it.
const MAX_LIST_RATE: f64 = 200_000.0;

/// About what an instance takes up in the list, in bytes.
const INSTANCE_SIZE: usize = 200;

/// Longest time between lists: nothing is ordered by an older one.
const MAX_LIST_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time for an answer of the platform.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Margin on the time for which orders to an instance have to come from one node, beside the time
/// that an order may take from its record to its way.
const RESERVATION_MARGIN: Duration = Duration::from_millis(400);

/// Status of an order that was not given, since it is not on record.
const NOT_RECORDED: u16 = 0;

/// Bits of an order's token below the owner's epoch.
const TOKEN_BITS: u32 = 20;

/// Where the waves' status is told.
const WAVE_STATUS: Partition = Partition {
    topic: STATUS_TOPIC,
    part: 0,
};

/// The owner's part in what instances do.
pub(crate) struct Fleet {
    shared: Arc<Shared>,
    planner: Planner,
    /// Each instance has one order under way at the most, so there are never many.
    orders: mpsc::UnboundedSender<Vec<QueuedOrder>>,
    /// When each wave began.
    waves: RecordWriter,
    /// Instances that had their maintenance.
    maintained: RecordWriter,
    /// What the operators are told of waves.
    status: RecordWriter,
    instances: Vec<Instance>,
    listed_at: Time,
    planned_at: Time,
    /// Instances that an earlier owner ordered of late: nobody else may until then.
    ///
    /// Failure: two owners order one instance within seconds of each other, and it is moved
    /// back and forth under its work. An order is on record before it is given, so what is not
    /// on record here no earlier owner has ordered.
    reserved: Map<InstanceName, Reserved>,
    /// Until then no instance may be ordered.
    blocked_until: Time,
    /// Pause after the store has turned the record of orders away.
    backoff: Backoff,
    token: u64,
}

impl Fleet {
    /// Starts listing; `history` is what earlier owners have seen.
    pub(crate) fn start(
        shared: Arc<Shared>,
        events: mpsc::Sender<Event>,
        epoch: u64,
        history: History,
        orders: Option<Vec<(InstanceName, OrderRecord)>>,
        last: Option<LastOwner>,
    ) -> Option<Self> {
        let addr = shared.settings.instances?;
        let service = Arc::new(Instances::new(addr));
        tokio::spawn(list_instances(
            shared.clone(),
            service.clone(),
            events.clone(),
        ));
        let times = Times {
            maintaining: shared.settings.times.maintaining,
        };
        let policy = shared.settings.policies.pools.clone();
        let writer = |to| RecordWriter::start(shared.clone(), events.clone(), to);
        let (ordering, queue) = mpsc::unbounded_channel();
        tokio::spawn(issue_orders(shared.clone(), service, events.clone(), queue));
        let wait = shared.settings.times.order.duration() + CALL_TIMEOUT + RESERVATION_MARGIN;
        let now = shared.clock.now();
        // Nobody knows what was ordered of late: anything may have been.
        let blocked = orders.is_none().then(|| now.after(wait));
        let reserved = reserved(now, wait, orders.unwrap_or_default(), last);
        log::info!(
            instances = reserved.len() as u64, dated = last.is_some(), known = blocked.is_none();
            "instances reserved"
        );
        Some(Self {
            reserved,
            blocked_until: blocked.unwrap_or_default(),
            planner: Planner::new(times, history).with_policy(policy),
            instances: Vec::new(),
            listed_at: Time::default(),
            planned_at: Time::default(),
            backoff: Backoff::default(),
            token: epoch << TOKEN_BITS,
            orders: ordering,
            waves: writer(WAVES),
            maintained: writer(MAINTAINED),
            status: writer(WAVE_STATUS),
            shared,
        })
    }

    pub(crate) fn set_instances(&mut self, instances: Vec<Instance>, sent: Time) {
        self.instances = instances;
        self.listed_at = sent;
    }

    /// What became of an order.
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
            _ => self.backoff.taken(),
        }
        self.planner
            .ordered(self.shared.clock.now(), instance_of(order), outcome);
        let Some(worker) = worker else {
            return;
        };
        match outcome {
            InstanceOutcome::Done => cell.retire(worker),
            InstanceOutcome::Unknown => {}
            _ => cell.reopen(worker),
        }
    }

    /// Plans, if it is time, and sets the plan going.
    pub(crate) fn plan(&mut self, cell: &mut Cell) {
        let now = self.shared.clock.now();
        if now.since(self.planned_at) < PLAN_INTERVAL {
            return;
        }
        self.planned_at = now;
        // Another node may own the cell by then.
        if !self.shared.leads() || now < self.blocked_until || !self.backoff.is_over(now) {
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
        cell.expect_maintenance(self.planner.due());
        if !orders.is_empty() && self.orders.send(orders).is_err() {
            log::error!("orders to instances are carried out no more");
        }
    }

    fn spare_services(&self) -> Vec<ServiceName> {
        let Some(config) = self.shared.config.load_full() else {
            return Vec::new();
        };
        let spare = config.services.values().filter(|s| s.spare);
        spare.map(|s| s.name.clone()).collect()
    }

    fn execute(&mut self, cell: &mut Cell, action: Action, orders: &mut Vec<QueuedOrder>) {
        match action {
            Action::Order { order, worker } => {
                // Nothing starts there between now and the order's arrival.
                if let Some(worker) = &worker {
                    cell.send_away(worker);
                }
                // Each order has a token of its own: an earlier one that is carried out late is
                // shut out by the later, and cannot take the instance back.
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
            Action::Close { worker, evacuate } => cell.close(&worker, evacuate),
            Action::Reopen(worker) => cell.reopen(&worker),
            Action::Began { wave } => {
                let at = encode(&self.shared.clock.wall());
                self.waves.write(Keyed::new(wave.to_string(), at));
            }
            Action::Maintained { wave, instance } => {
                log::info!(wave = wave, instance:% = instance; "instance maintained");
                let key = format!("{wave}/{instance}");
                self.maintained.write(Keyed::new(key, vec![1]));
            }
            Action::Status { wave, complete } => {
                log::info!(wave = wave, complete = complete; "wave told of");
                let (key, value) = wave_status(wave, complete);
                self.status.write(Keyed::new(key, value));
            }
        }
    }
}

/// Puts orders on record, then gives them, until nobody owns the cell here any more.
///
/// Failure: the store takes a quarter of a second for an append, one at a time, each plan appends
/// its own orders, and those of a queue's first second are given up unrecorded. Plans that come
/// while an append is under way go into the next one together.
async fn issue_orders(
    shared: Arc<Shared>,
    service: Arc<Instances>,
    events: mpsc::Sender<Event>,
    mut queue: mpsc::UnboundedReceiver<Vec<QueuedOrder>>,
) {
    while let Some(mut orders) = queue.recv().await {
        while let Ok(more) = queue.try_recv() {
            orders.extend(more);
        }
        let (life, at) = (shared.life, shared.clock.now());
        let records = orders.iter().map(|g| {
            let wave = wave_of(&g.order);
            let record = OrderRecord { life, at, wave };
            Keyed::new(instance_of(&g.order).as_str(), encode(&record))
        });
        let records: Vec<Keyed> = records.collect();
        let recorded = shared.orders.write(&shared.store, &records).await;
        if let Err(e) = &recorded {
            log::info!(error:% = e; "orders to instances not on record");
        }
        for item in orders {
            let (shared, service) = (shared.clone(), service.clone());
            let (events, recorded) = (events.clone(), recorded.is_ok());
            tokio::spawn(async move {
                let outcome = issue(&shared, &service, &events, &item, recorded).await;
                shared.metrics.instance_ordered(outcome_name(outcome));
                log::info!(
                    order:? = item.order, token = item.token.fence, outcome:? = outcome;
                    "instance ordered"
                );
                let event = Event::Ordered(item.order, item.worker, outcome);
                let _ = events.send(event).await;
            });
        }
    }
}

/// An order that is to be given.
struct QueuedOrder {
    order: InstanceOrder,
    worker: Option<WorkerId>,
    token: OrderToken,
}

/// Gives an order, unless it is not on record or this node may own the cell no more.
async fn issue(
    shared: &Shared,
    service: &Instances,
    events: &mpsc::Sender<Event>,
    item: &QueuedOrder,
    recorded: bool,
) -> InstanceOutcome {
    let is_owner = !events.is_closed() && shared.leads();
    match recorded && is_owner {
        true => service.order(&item.order, &item.token, CALL_TIMEOUT).await,
        false => InstanceOutcome::Refused(NOT_RECORDED),
    }
}

/// Lists instances until nobody takes the lists any more.
async fn list_instances(shared: Arc<Shared>, service: Arc<Instances>, events: mpsc::Sender<Event>) {
    let mut failing = false;
    let mut previous: Option<Vec<Instance>> = None;
    while !events.is_closed() {
        let sent = shared.clock.now();
        match service.list(CALL_TIMEOUT).await {
            Ok(instances) => {
                if std::mem::take(&mut failing) {
                    log::info!("list of instances regained");
                }
                let size = instances.len() * INSTANCE_SIZE;
                let min_pause = shared.settings.link.time_of(size).div_f64(LIST_LINK_SHARE);
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
                    log::warn!(error:% = e; "list of instances lost");
                }
                sleep(BUSY_LIST_INTERVAL).await;
            }
        }
    }
}

fn instance_of(order: &InstanceOrder) -> &InstanceName {
    match order {
        InstanceOrder::Move { instance, .. } | InstanceOrder::Maintain { instance, .. } => instance,
    }
}

fn wave_of(order: &InstanceOrder) -> Option<u64> {
    match order {
        InstanceOrder::Maintain { wave, .. } => Some(*wave),
        InstanceOrder::Move { .. } => None,
    }
}

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
