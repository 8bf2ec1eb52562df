//! Maintenance waves.

mod fleet;

use std::time::Duration;

use cactuswheel_capacity::Action;
use cactuswheel_model::{Millis, Set};
use cactuswheel_work::{InstanceName, InstanceOrder, InstanceOutcome, InstanceState, Wave};
use fleet::{Fleet, planner};

const SECOND: Duration = Duration::from_secs(1);

fn wave(fleet: &Fleet, cap: u32) -> Wave {
    Wave {
        number: 1,
        instances: fleet.instances.iter().map(|i| i.name.clone()).collect(),
        within: Millis::new(25_000),
        cap,
    }
}

/// Every instance of a wave is maintained once and before the deadline, within the limit on
/// concurrent maintenance (which the fleet asserts), and never while tasks run on it.
#[test]
fn whole_wave() {
    let mut fleet = Fleet::new(5, 5, 4);
    fleet.occupy("hot", 2, 2);
    fleet.occupy("cold", 2, 2);
    fleet.waves = vec![wave(&fleet, 3)];
    fleet.run(2 * SECOND);
    assert_eq!(fleet.complete, Some(false));
    fleet.run(22 * SECOND);
    assert_eq!(fleet.complete, Some(true));
    let maintained = |o: &&InstanceOrder| matches!(o, InstanceOrder::Maintain { .. });
    assert_eq!(fleet.orders.iter().filter(maintained).count(), 14);
}

/// A wave takes no instance from a pool below its target while its deadline is far.
#[test]
fn short_pool_first() {
    let mut fleet = Fleet::new(2, 1, 4);
    fleet.waves = vec![wave(&fleet, 3)];
    fleet.set_demand("hot", 2_000);
    fleet.plan();
    let maintained = fleet.orders.iter().filter_map(|o| match o {
        InstanceOrder::Maintain { instance, .. } => Some(instance.as_str()),
        InstanceOrder::Move { .. } => None,
    });
    let maintained: Vec<&str> = maintained.collect();
    assert_eq!(
        maintained,
        ["cold-0"],
        "only the idle pool's instance, none that the short pool needs"
    );
}

/// Guards against more instances of a wave being down than allowed. A new owner does not know which
/// of them an earlier owner has sent into maintenance, and counts only its own orders. Instances
/// listed as under maintenance and instances ordered recently for the wave count too.
#[test]
fn earlier_owner_counts() {
    let mut fleet = Fleet::new(1, 1, 6);
    fleet.waves = vec![wave(&fleet, 3)];
    fleet.instances[2].state = InstanceState::Maintained;
    fleet.instances[3].state = InstanceState::Maintained;
    fleet
        .reserved
        .insert(fleet.instances[4].name.clone(), Some(1));
    fleet.plan();
    let orders = fleet
        .orders
        .iter()
        .filter(|o| matches!(o, InstanceOrder::Maintain { .. }));
    assert_eq!(orders.count(), 0);
}

/// An instance that an earlier owner ordered recently gets no order of any kind yet.
#[test]
fn reserved_waits() {
    let mut fleet = Fleet::new(1, 1, 3);
    for instance in &fleet.instances {
        fleet.reserved.insert(instance.name.clone(), None);
    }
    fleet.set_demand("hot", 500);
    fleet.plan();
    assert_eq!(fleet.orders, Vec::new());
}

/// Maintenance that earlier owners have stored as done is not repeated.
#[test]
fn done_stays_done() {
    let mut fleet = Fleet::new(1, 1, 2);
    fleet.waves = vec![wave(&fleet, 4)];
    let names = fleet.instances.iter().map(|i| (1, i.name.clone()));
    fleet.planner = planner(names.collect::<Vec<(u64, InstanceName)>>());
    let actions = fleet.plan();
    let reported = actions.iter().any(|d| {
        *d == Action::ReportStatus {
            wave: 1,
            complete: true,
        }
    });
    assert!(reported);
    assert_eq!(fleet.orders, Vec::new());
}

/// Guards against instances left at the operators' deadline. Owners change in the middle of a wave,
/// each counts the wave's time from when it first saw it, and a pool below its target keeps its
/// instances because the wave does not seem urgent. The first sight of a wave is stored.
#[test]
fn time_goes_on() {
    let mut fleet = Fleet::new(4, 1, 1);
    let mut asked = wave(&fleet, 3);
    asked.within = Millis::new(24_000);
    asked.instances.retain(|i| i.as_str() != "off-0");
    fleet.waves = vec![asked];
    // The pool wants one more instance than is available.
    let mut instances = fleet.instances.iter_mut();
    let off = instances.find(|i| i.name.as_str() == "off-0");
    off.expect("the instance is listed").state = InstanceState::Moving;
    fleet.set_demand("hot", 2_000);
    fleet.run(9 * SECOND);
    fleet.change_owner();
    fleet.run(9 * SECOND);
    assert_eq!(fleet.complete, Some(true));
}

/// Guards against instances left at the operators' deadline. A new owner takes every instance that
/// an earlier owner moved recently for one that may be under maintenance, and starts no maintenance
/// for seconds. Only instances that were ordered for the wave count.
#[test]
fn moves_do_not_count() {
    let mut fleet = Fleet::new(1, 1, 6);
    fleet.waves = vec![wave(&fleet, 3)];
    for instance in &fleet.instances[2..5] {
        fleet.reserved.insert(instance.name.clone(), None);
    }
    fleet.plan();
    let maintained = |o: &&InstanceOrder| matches!(o, InstanceOrder::Maintain { .. });
    assert_eq!(fleet.orders.iter().filter(maintained).count(), 3);
}

/// Guards against a wave that is late because the eviction of long-running tasks starts late, and
/// against one that closes fully used workers which would run out of tasks before the deadline.
#[test]
fn lasting_leaves_first() {
    let mut fleet = Fleet::new(6, 1, 0);
    fleet.waves = vec![wave(&fleet, 3)];
    fleet.occupy("hot", 1, 1);
    fleet.occupy("hot", 3, 3);
    for _ in 0..4 {
        fleet.occupy("hot", 0, 2);
    }
    // The pool is below its target, and as many instances as allowed are under maintenance.
    fleet.set_demand("hot", 9 * 64);
    let lasting = |fleet: &Fleet, id| fleet.workers.get(id).map(|v| v.lasting);
    let before: Vec<_> = fleet.workers.values().cloned().collect();
    let closed: Vec<_> = fleet
        .plan()
        .into_iter()
        .filter_map(|d| match d {
            Action::Close { worker, .. } => Some(worker),
            _ => None,
        })
        .collect();
    let busy = before.iter().filter(|v| v.lasting == 0 && v.runs > 0);
    for view in busy {
        assert!(!closed.contains(&view.worker), "{} is busy", view.worker);
    }
    let most = before
        .iter()
        .max_by_key(|v| v.lasting)
        .expect("the fleet has workers");
    assert!(closed.contains(&most.worker), "{closed:?}");
    assert_eq!(
        lasting(&fleet, &most.worker),
        Some(0),
        "its long-running tasks were evicted"
    );
}

/// Guards against a wave that is late for a single task on one of its last instances: a closed
/// worker that still has runs is told once when it has to be empty, which leaves time for the
/// maintenance before the deadline.
#[test]
fn emptied_in_time() {
    let mut fleet = Fleet::new(2, 1, 0);
    fleet.waves = vec![wave(&fleet, 3)];
    fleet.occupy("hot", 0, 2);
    let deadline = fleet.now.after(25 * SECOND);
    fleet.run(20 * SECOND);
    let [(_, by)] = fleet.vacated[..] else {
        panic!("one worker has to be empty: {:?}", fleet.vacated);
    };
    assert!(by.after(2 * SECOND) <= deadline, "{by} of {deadline}");
    assert!(by > fleet.now, "{by}");
}

/// Guards against a whole wave that waits for instances which can never be emptied, because their
/// long-running tasks have no other place and they are the first to be drained.
#[test]
fn stuck_instances() {
    for cap in [1, 3] {
        let mut fleet = Fleet::new(8, 1, 0);
        fleet.set_demand("hot", 8 * 64);
        for lasting in [5, 5, 5, 1, 1, 1, 1, 1] {
            fleet.occupy("hot", lasting, lasting);
        }
        let stuck = fleet.workers.values().filter(|v| v.lasting == 5);
        fleet.stuck = stuck.map(|v| v.worker.clone()).collect();
        let mut asked = wave(&fleet, cap);
        asked.within = Millis::new(60_000);
        fleet.waves = vec![asked];
        fleet.run(60 * SECOND);
        let maintained = |o: &&InstanceOrder| matches!(o, InstanceOrder::Maintain { .. });
        let maintained = fleet.orders.iter().filter(maintained).count();
        assert_eq!(maintained, 6, "{cap} at a time");
    }
}

/// Guards against one instance more in maintenance than allowed: the first try of an order has an
/// unknown outcome and may still be carried out, although a repetition is refused.
#[test]
fn refused_in_doubt() {
    let mut fleet = Fleet::new(1, 1, 4);
    fleet.waves = vec![wave(&fleet, 1)];
    let refused = InstanceOutcome::Refused(429);
    fleet.outcomes = [InstanceOutcome::Unknown, refused, InstanceOutcome::Busy].into();
    for _ in 0..50 {
        fleet.plan();
        if fleet.outcomes.is_empty() {
            break;
        }
        fleet.now = fleet.now.after(Duration::from_millis(100));
    }
    fleet.now = fleet.now.after(SECOND);
    fleet.plan();
    let maintained = fleet.orders.iter().filter_map(|o| match o {
        InstanceOrder::Maintain { instance, .. } => Some(instance.clone()),
        InstanceOrder::Move { .. } => None,
    });
    let maintained: Set<InstanceName> = maintained.collect();
    assert_eq!(maintained.len(), 1, "{maintained:?}");
}
