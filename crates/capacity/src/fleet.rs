//! The instances of a fleet by what may be done with each.

use std::time::Duration;

use cactuswheel_cell::WorkerView;
use cactuswheel_model::{Map, Time};
use cactuswheel_work::{Instance, InstanceName, InstanceOrder, InstanceState, ServiceName};

use crate::snapshot::Snapshot;

/// Time that a fresh worker may take to be listed and looked at.
const ARRIVAL: Duration = Duration::from_millis(2_500);

/// An order that was given and not yet seen through.
#[derive(Debug, Clone)]
pub(crate) struct Ordered {
    pub(crate) order: InstanceOrder,
    /// When it was given first.
    pub(crate) at: Time,
    /// The platform has confirmed it.
    pub(crate) certain: bool,
    /// It is on the way, and no answer has come yet.
    pub(crate) flying: bool,
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
    Coming(ServiceName),
    /// Under maintenance, or on its way to where it is off.
    Away,
    /// Its worker cannot be used, and nothing is known of why.
    Dark,
}

/// An instance with its standing.
#[derive(Debug, Clone)]
pub(crate) struct Member<'a> {
    pub(crate) instance: &'a Instance,
    pub(crate) eligibility: Eligibility<'a>,
}

/// Since when each instance is up without a worker that can be used.
pub(crate) type Unseen = Map<InstanceName, Time>;

/// The standing of every instance.
pub(crate) fn members<'a>(
    snapshot: &'a Snapshot<'_>,
    ordered: &Map<InstanceName, Ordered>,
    unseen: &mut Unseen,
) -> Vec<Member<'a>> {
    let instances = snapshot.instances.iter();
    let members = instances.map(|instance| Member {
        instance,
        eligibility: eligibility(snapshot, instance, ordered, unseen),
    });
    members.collect()
}

fn eligibility<'a>(
    snapshot: &'a Snapshot<'_>,
    instance: &Instance,
    ordered: &Map<InstanceName, Ordered>,
    unseen: &mut Unseen,
) -> Eligibility<'a> {
    if let Some(given) = ordered.get(&instance.name) {
        return on_the_way(snapshot, instance, &given.order);
    }
    let coming = match snapshot.spare.contains(&instance.pool) {
        true => Eligibility::Away,
        false => Eligibility::Coming(instance.pool.clone()),
    };
    match instance.state {
        InstanceState::Moving | InstanceState::Maintained => return coming,
        InstanceState::Down => return Eligibility::Dark,
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
        unseen.remove(&instance.name);
        return match view.closing {
            true => Eligibility::Closing(view),
            false => Eligibility::Serving(view),
        };
    }
    let since = *unseen.entry(instance.name.clone()).or_insert(snapshot.now);
    match snapshot.now.since(since) < ARRIVAL {
        true => Eligibility::Coming(instance.pool.clone()),
        false => Eligibility::Dark,
    }
}

fn on_the_way<'a>(
    snapshot: &Snapshot<'_>,
    instance: &Instance,
    order: &InstanceOrder,
) -> Eligibility<'a> {
    let pool = match order {
        InstanceOrder::Move { pool, .. } => pool,
        InstanceOrder::Maintain { .. } => &instance.pool,
    };
    match snapshot.spare.contains(pool) {
        true => Eligibility::Away,
        false => Eligibility::Coming(pool.clone()),
    }
}
