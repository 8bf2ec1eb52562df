//! The instances of a fleet by what may be done with each.

use std::time::Duration;

use cactuswheel_cell::WorkerView;
use cactuswheel_model::{Map, Time};
use cactuswheel_work::{Instance, InstanceName, InstanceOrder, InstanceState, ServiceName};

use crate::snapshot::Snapshot;

/// Time that a fresh worker may take to be listed and looked at.
const WORKER_STARTUP: Duration = Duration::from_millis(2_500);

/// An order that was given and not yet seen through.
#[derive(Debug, Clone)]
pub(crate) struct PendingOrder {
    pub(crate) order: InstanceOrder,
    /// When it was given first.
    pub(crate) updated: Time,
    /// The platform has confirmed it.
    pub(crate) confirmed: bool,
    /// It is on the way, and no answer has come yet.
    pub(crate) in_flight: bool,
    pub(crate) worker: Option<cactuswheel_work::WorkerId>,
}

/// What may be done with an instance.
#[derive(Debug, Clone)]
pub(crate) enum Eligibility<'a> {
    /// Off, at no cost.
    Spare,
    /// Its worker takes work.
    Serving(&'a WorkerView),
    /// Its worker takes no more work.
    Closing(&'a WorkerView),
    /// Will serve this pool soon.
    Arriving(ServiceName),
    /// Under maintenance, or on its way to where it is off.
    Unavailable,
    /// Its worker cannot be used, and nothing is known of why.
    Unreachable,
}

/// An instance with its standing.
#[derive(Debug, Clone)]
pub(crate) struct Member<'a> {
    pub(crate) instance: &'a Instance,
    pub(crate) eligibility: Eligibility<'a>,
}

/// Since when each instance is up without a worker that can be used.
pub(crate) type UnusableSince = Map<InstanceName, Time>;

/// The standing of every instance.
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
