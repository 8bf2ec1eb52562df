//! Instances, for the cell's owner: lists them, carries out what the planner asks for.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_adapter::{InstanceClient, KeyedRecord, Partition, STATUS_TOPIC, wave_status};
use cactuswheel_capacity::{
    Action, History, LastOwner, OrderRecord, Planner, Reservation, Snapshot, Timings, reservations,
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
const PLAN_EVERY: Duration = Duration::from_millis(100);

/// Time between lists while something is on the way, and while nothing is.
const LIST_BUSY: Duration = Duration::from_millis(300);
const LIST_IDLE: Duration = Duration::from_millis(1_000);

/// Share of the link that lists of instances may take up.
///
/// Failure: a list of every instance takes up a third of what the owner reads, three times a
/// second; on a narrow link orders and renewals of the ownership wait behind it.
const LIST_SHARE: f64 = 0.05;

/// Bytes a second that lists of instances may take whatever the link: what a list shows sooner
/// changes little, since orders and arrivals are known without it.
const LIST_RATE: f64 = 200_000.0;

/// About what an instance takes up in the list, in bytes.
const LISTED: usize = 200;

/// Longest time between lists: nothing is ordered by an older one.
const LIST_MOST: Duration = Duration::from_millis(1_500);

/// Time for an answer of the platform.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Margin on the time for which orders to an instance have to come from one node, beside the time
/// that an order may take from its record to its way.
const ORDER_MARGIN: Duration = Duration::from_millis(400);

/// Status of an order that was not given, since it is not on record.
const NOT_RECORDED: u16 = 0;

/// Bits of an order's token below the owner's epoch.
const TOKEN_BITS: u32 = 20;

/// Where the waves' status is told.
const STATUS: Partition = Partition {
    topic: STATUS_TOPIC,
    part: 0,
};

/// The owner's part in what instances do.
pub(crate) struct Fleet {
    shared: Arc<Shared>,
    planner: Planner,
    /// Each instance has one order under way at the most, so there are never many.
    orders: mpsc::UnboundedSender<Vec<Issued>>,
    /// When each wave began.
    waves: RecordWriter,
    /// Instances that had their maintenance.
    maintained: RecordWriter,
    /// What the operators are told of waves.
    status: RecordWriter,
    instances: Vec<Instance>,
    listed: Time,
    planned: Time,
    /// Instances that an earlier owner ordered of late: nobody else may until then.
    ///
    /// Failure: two owners order one instance within seconds of each other, and it is moved
    /// back and forth under its work. An order is on record before it is given, so what is not
    /// on record here no earlier owner has ordered.
    reserved: Map<InstanceName, Reservation>,
    /// Until then no instance may be ordered.
    barred: Time,
    /// Pause after the store has turned the record of orders away.
    backoff: Backoff,
    token: u64,
}

impl Fleet {
    /// Starts listing; `past` is what earlier owners have seen.
    pub(crate) fn start(
        shared: Arc<Shared>,
        events: mpsc::Sender<Event>,
        epoch: u64,
        past: History,
        orders: Option<Vec<(InstanceName, OrderRecord)>>,
        last: Option<LastOwner>,
    ) -> Option<Self> {
        let addr = shared.settings.instances?;
        let service = Arc::new(InstanceClient::new(addr));
        tokio::spawn(list(shared.clone(), service.clone(), events.clone()));
        let times = Timings {
            maintenance: shared.settings.times.maintenance,
        };
        let policy = shared.settings.policies.pools.clone();
        let writer = |to| RecordWriter::start(shared.clone(), events.clone(), to);
        let (ordering, queue) = mpsc::unbounded_channel();
        tokio::spawn(order(shared.clone(), service, events.clone(), queue));
        let wait = shared.settings.times.order.duration() + TIMEOUT + ORDER_MARGIN;
        let now = shared.clock.now();
        // Nobody knows what was ordered of late: anything may have been.
        let barred = orders.is_none().then(|| now.after(wait));
        let reserved = reservations(now, wait, orders.unwrap_or_default(), last);
        log::info!(
            instances = reserved.len() as u64, dated = last.is_some(), known = barred.is_none();
            "instances reserved"
        );
        Some(Self {
            reserved,
            barred: barred.unwrap_or_default(),
            planner: Planner::new(times, past).with_policy(policy),
            instances: Vec::new(),
            listed: Time::default(),
            planned: Time::default(),
            backoff: Backoff::default(),
            token: epoch << TOKEN_BITS,
            orders: ordering,
            waves: writer(WAVES),
            maintained: writer(MAINTAINED),
            status: writer(STATUS),
            shared,
        })
    }

    pub(crate) fn listed(&mut self, instances: Vec<Instance>, sent: Time) {
        self.instances = instances;
        self.listed = sent;
    }

    /// What became of an order.
    pub(crate) fn ordered(
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
        self.planner
            .record_outcome(self.shared.clock.now(), name(order), outcome);
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
        if now.since(self.planned) < PLAN_EVERY {
            return;
        }
        self.planned = now;
        // Another node may own the cell by then.
        if !self.shared.holds_ownership() || now < self.barred || !self.backoff.is_elapsed(now) {
            return;
        }
        let waves = self.shared.waves.load_full().unwrap_or_default();
        let (loads, workers) = (cell.loads(), cell.workers());
        let spare = self.spare();
        self.reserved.retain(|_, r| r.until > now);
        let reserved = self.reserved.iter().map(|(name, r)| (name.clone(), r.wave));
        let reserved = reserved.collect();
        let evacuated = self.shared.evacuated.load();
        let snapshot = Snapshot {
            now,
            loads: &loads,
            workers: &workers,
            instances: &self.instances,
            listed: self.listed,
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
            log::error!("orders to instances are carried out no more");
        }
    }

    fn spare(&self) -> Vec<ServiceName> {
        let Some(config) = self.shared.config.load_full() else {
            return Vec::new();
        };
        let spare = config.services.values().filter(|s| s.spare);
        spare.map(|s| s.name.clone()).collect()
    }

    fn execute(&mut self, cell: &mut Cell, action: Action, orders: &mut Vec<Issued>) {
        match action {
            Action::Order { order, worker } => {
                // Nothing starts there between now and the order's arrival.
                if let Some(worker) = &worker {
                    cell.send_away(worker);
                }
                // Each order has a token of its own: an earlier one that is carried out late is
                // shut out by the later, and cannot take the instance back.
                self.token += 1;
                orders.push(Issued {
                    order,
                    worker,
                    token: OrderToken {
                        holder: self.shared.settings.node.clone(),
                        fence: self.token,
                    },
                });
            }
            Action::Close { worker, evict } => cell.close(&worker, evict),
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
                log::info!(wave = wave, complete = complete; "wave told of");
                let (key, value) = wave_status(wave, complete);
                self.status.write(KeyedRecord::new(key, value));
            }
        }
    }
}

/// Puts orders on record, then gives them, until nobody owns the cell here any more.
///
/// Failure: the store takes a quarter of a second for an append, one at a time, each plan appends
/// its own orders, and those of a queue's first second are given up unrecorded. Plans that come
/// while an append is under way go into the next one together.
async fn order(
    shared: Arc<Shared>,
    service: Arc<InstanceClient>,
    events: mpsc::Sender<Event>,
    mut queue: mpsc::UnboundedReceiver<Vec<Issued>>,
) {
    while let Some(mut orders) = queue.recv().await {
        while let Ok(more) = queue.try_recv() {
            orders.extend(more);
        }
        let (life, at) = (shared.life, shared.clock.now());
        let records = orders.iter().map(|g| {
            let wave = wave(&g.order);
            let record = OrderRecord { life, at, wave };
            KeyedRecord::new(name(&g.order).as_str(), encode(&record))
        });
        let records: Vec<KeyedRecord> = records.collect();
        let recorded = shared.orders.write(&shared.store, &records).await;
        if let Err(e) = &recorded {
            log::info!(error:% = e; "orders to instances not on record");
        }
        for given in orders {
            let (shared, service) = (shared.clone(), service.clone());
            let (events, recorded) = (events.clone(), recorded.is_ok());
            tokio::spawn(async move {
                let outcome = give(&shared, &service, &events, &given, recorded).await;
                shared.metrics.instance_ordered(outcome_name(outcome));
                log::info!(
                    order:? = given.order, token = given.token.fence, outcome:? = outcome;
                    "instance ordered"
                );
                let event = Event::InstanceOrdered(given.order, given.worker, outcome);
                let _ = events.send(event).await;
            });
        }
    }
}

/// An order that is to be given.
struct Issued {
    order: InstanceOrder,
    worker: Option<WorkerId>,
    token: OrderToken,
}

/// Gives an order, unless it is not on record or this node may own the cell no more.
async fn give(
    shared: &Shared,
    service: &InstanceClient,
    events: &mpsc::Sender<Event>,
    given: &Issued,
    recorded: bool,
) -> InstanceOutcome {
    let owner = !events.is_closed() && shared.holds_ownership();
    match recorded && owner {
        true => service.order(&given.order, &given.token, TIMEOUT).await,
        false => InstanceOutcome::Refused(NOT_RECORDED),
    }
}

/// Lists instances until nobody takes the lists any more.
async fn list(shared: Arc<Shared>, service: Arc<InstanceClient>, events: mpsc::Sender<Event>) {
    let mut lost = false;
    let mut quiet: Option<Vec<Instance>> = None;
    while !events.is_closed() {
        let sent = shared.clock.now();
        match service.list(TIMEOUT).await {
            Ok(instances) => {
                if std::mem::take(&mut lost) {
                    log::info!("list of instances regained");
                }
                let size = instances.len() * LISTED;
                let least = shared.settings.link.transfer_time(size).div_f64(LIST_SHARE);
                let least = least.max(Duration::from_secs_f64(size as f64 / LIST_RATE));
                let same = quiet.as_ref() == Some(&instances);
                quiet = Some(instances.clone());
                let _ = events.send(Event::Instances(instances, sent)).await;
                let pause = if same { LIST_IDLE } else { LIST_BUSY };
                sleep(pause.max(least.min(LIST_MOST))).await;
            }
            Err(e) => {
                if !std::mem::replace(&mut lost, true) {
                    log::warn!(error:% = e; "list of instances lost");
                }
                sleep(LIST_BUSY).await;
            }
        }
    }
}

fn name(order: &InstanceOrder) -> &InstanceName {
    match order {
        InstanceOrder::Move { instance, .. } | InstanceOrder::Maintain { instance, .. } => instance,
    }
}

fn wave(order: &InstanceOrder) -> Option<u64> {
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
