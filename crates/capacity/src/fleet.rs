//! Classification of instances by what the planner may do with each.

use std::time::Duration;

use cactuswheel_cell::WorkerView;
use cactuswheel_model::{Map, Time};
use cactuswheel_work::{Instance, InstanceName, InstanceOrder, InstanceState, ServiceName};

use crate::snapshot::Snapshot;

/// Time within which a new worker is expected to be listed and polled for the first time.
const WORKER_STARTUP: Duration = Duration::from_millis(2_500);

/// An order that was issued and that has not been seen to complete.
#[derive(Debug, Clone)]
pub(crate) struct PendingOrder {
    pub(crate) order: InstanceOrder,
    /// When the order was issued first, or when the platform's latest response to it arrived.
    pub(crate) updated: Time,
    /// The platform has confirmed the order.
    pub(crate) confirmed: bool,
    /// The order was sent, and no response has arrived yet.
    pub(crate) in_flight: bool,
    /// When the outcome of the order was last unknown: it may still be carried out, whatever the
    /// response to a repetition is.
    pub(crate) doubt: Option<Time>,
    pub(crate) worker: Option<cactuswheel_work::WorkerId>,
}

/// What the planner may do with an instance.
#[derive(Debug, Clone)]
pub(crate) enum Eligibility<'a> {
    /// Powered off in a spare pool, at no cost.
    Spare,
    /// Its worker accepts new work.
    Serving(&'a WorkerView),
    /// Its worker is closed to new work.
    Closing(&'a WorkerView),
    /// Will serve this pool soon.
    Arriving(ServiceName),
    /// On its way to a spare pool, or under maintenance in one.
    Unavailable,
    /// Down, or its worker is unusable for an unknown reason.
    Unreachable,
}

/// An instance and what the planner may do with it.
#[derive(Debug, Clone)]
pub(crate) struct Member<'a> {
    pub(crate) instance: &'a Instance,
    pub(crate) eligibility: Eligibility<'a>,
}

/// When each instance that is up was first seen without a usable worker.
pub(crate) type UnusableSince = Map<InstanceName, Time>;

/// Determines the eligibility of every instance.
pub(crate) fn classify<'a>(
    snapshot: &'a Snapshot<'_>,
    pending_orders: &Map<InstanceName, PendingOrder>,
    unusable_since: &mut UnusableSince,
) -> Vec<Member<'a>> {
    let instances = snapshot.instances.iter();
    let members = instances.map(|instance| Member {
        instance,
        eligibility: eligibility(snapshot, instance, pending_orders, unusable_since),
    });
    members.collect()
}

fn eligibility<'a>(
    snapshot: &'a Snapshot<'_>,
    instance: &Instance,
    pending_orders: &Map<InstanceName, PendingOrder>,
    unusable_since: &mut UnusableSince,
) -> Eligibility<'a> {
    if let Some(pending) = pending_orders.get(&instance.name) {
        return pending_eligibility(snapshot, instance, &pending.order);
    }
    let arriving = match snapshot.spare.contains(&instance.pool) {
        true => Eligibility::Unavailable,
        false => Eligibility::Arriving(instance.pool.clone()),
    };
    match instance.state {
        InstanceState::Moving | InstanceState::Maintained => return arriving,
        InstanceState::Down => return Eligibility::Unreachable,
        InstanceState::Up => {}
    }
    if snapshot.spare.contains(&instance.pool) {
        return Eligibility::Spare;
    }
    let worker = instance
        .worker
        .as_ref()
        .and_then(|id| snapshot.workers.get(id));
    if let Some(view) = worker.filter(|v| v.open || v.closing) {
        unusable_since.remove(&instance.name);
        return match view.closing {
            true => Eligibility::Closing(view),
            false => Eligibility::Serving(view),
        };
    }
    let since = *unusable_since
        .entry(instance.name.clone())
        .or_insert(snapshot.now);
    match snapshot.now.since(since) < WORKER_STARTUP {
        true => Eligibility::Arriving(instance.pool.clone()),
        false => Eligibility::Unreachable,
    }
}

fn pending_eligibility<'a>(
    snapshot: &Snapshot<'_>,
    instance: &Instance,
    order: &InstanceOrder,
) -> Eligibility<'a> {
    let pool = match order {
        InstanceOrder::Move { pool, .. } => pool,
        InstanceOrder::Maintain { .. } => &instance.pool,
    };
    match snapshot.spare.contains(pool) {
        true => Eligibility::Unavailable,
        false => Eligibility::Arriving(pool.clone()),
    }
}
