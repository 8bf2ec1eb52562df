//! Demand that rotates among pools.

mod fleet;

use std::time::Duration;

use cactuswheel_work::{InstanceOrder, InstanceState, Room};
use fleet::{Fleet, TICK};

/// Returns the pool that an order sends its instance to.
fn pool_of(order: &InstanceOrder) -> String {
    match order {
        InstanceOrder::Move { pool, .. } => pool.as_str().to_owned(),
        InstanceOrder::Maintain { .. } => String::new(),
    }
}

const SECOND: Duration = Duration::from_secs(1);

/// A pool with more demand than capacity gets spare instances immediately.
#[test]
fn spare_first() {
    let mut fleet = Fleet::new(2, 4, 6);
    fleet.set_demand("hot", 400);
    fleet.run(2 * SECOND);
    assert_eq!(
        fleet.count("hot"),
        8,
        "400 cores, plus 10% headroom and half an instance in reserve"
    );
}

/// Without spare instances, an idle pool provides its own, each by one direct move.
#[test]
fn idle_pool_lends() {
    let mut fleet = Fleet::new(2, 10, 0);
    fleet.set_demand("hot", 400);
    fleet.run(4 * SECOND);
    assert!(fleet.count("hot") >= 8, "{}", fleet.count("hot"));
    let via_spare = fleet.orders.iter().filter(|o| match o {
        InstanceOrder::Move { pool, .. } => pool.as_str() == "off",
        InstanceOrder::Maintain { .. } => false,
    });
    assert!(
        via_spare.count() <= 9,
        "instances for hot move directly, not through the spare pool"
    );
}

/// An idle pool shrinks to what its long-running work needs, within about two seconds.
#[test]
fn idle_shrinks() {
    let mut fleet = Fleet::new(8, 8, 0);
    fleet.occupy("hot", 1, 1);
    fleet.run(3 * SECOND);
    assert_eq!((fleet.count("hot"), fleet.count("cold")), (1, 1));
}

/// A short lull causes no moves, as moving an instance away and back costs more than keeping it.
#[test]
fn lull_moves_nothing() {
    let mut fleet = Fleet::new(8, 1, 0);
    fleet.set_demand("hot", 400);
    fleet.run(SECOND);
    let before = fleet.orders.len();
    fleet.set_demand("hot", 0);
    fleet.run(7 * TICK);
    fleet.set_demand("hot", 400);
    fleet.run(SECOND);
    assert_eq!(fleet.orders.len(), before);
}

/// Two pools want more instances than exist, and neither starves. Without a division, the pool that
/// asked first keeps all instances until its backlog is done.
#[test]
fn divided() {
    let mut fleet = Fleet::new(2, 2, 8);
    fleet.set_demand("hot", 2_000);
    fleet.run(3 * SECOND);
    assert_eq!(fleet.count("hot"), 11);
    fleet.set_demand("cold", 2_000);
    fleet.run(4 * SECOND);
    assert!(fleet.count("cold") >= 5, "{}", fleet.count("cold"));
    assert!(fleet.count("hot") >= 5, "{}", fleet.count("hot"));
}

/// Overdue work, whose result is of no more use to its callers, uses only capacity that no other
/// work wants.
#[test]
fn overdue_last() {
    let mut fleet = Fleet::new(2, 2, 4);
    let load = fleet.loads.get_mut("hot").expect("the pool exists");
    load.overdue.cpu = 2_000_000;
    fleet.set_demand("cold", 250);
    fleet.run(5 * SECOND);
    assert!(fleet.count("cold") >= 5, "{}", fleet.count("cold"));
    assert!(fleet.count("hot") >= 2, "{}", fleet.count("hot"));
}

/// A surge in arrivals is detected within a quarter of a second, before any task waits for long.
#[test]
fn arrivals_foretell() {
    let mut fleet = Fleet::new(2, 2, 8);
    fleet.run(2 * SECOND);
    for _ in 0..3 {
        fleet.add_arrivals("hot", 4);
        fleet.run(TICK);
    }
    let to_hot = fleet.orders.iter().filter(|o| match o {
        InstanceOrder::Move { pool, .. } => pool.as_str() == "hot",
        InstanceOrder::Maintain { .. } => false,
    });
    assert!(
        to_hot.count() >= 5,
        "12 jobs in 0.3 s, each of which needs an instance for 0.5 s"
    );
}

/// Guards against callers that wait twice as long as a move takes, because the work of one pool
/// ends as that of another begins and all its instances are on their way to the spare pool, where
/// none is available. At most half of the unused instances are on their way at a time; the other
/// half is provided immediately.
#[test]
fn half_stays() {
    let mut fleet = Fleet::new(40, 1, 0);
    fleet.set_demand("hot", 2_000);
    fleet.run(SECOND);
    let before = fleet.orders.len();
    fleet.set_demand("hot", 0);
    fleet.run(12 * TICK);
    let moved = fleet.orders.len() - before;
    assert!((1..=20).contains(&moved), "{moved} of 40 are released");
    fleet.set_demand("cold", 800);
    fleet.run(16 * TICK);
    assert!(fleet.count("cold") >= 15, "{}", fleet.count("cold"));
}

/// Guards against a surge that finds no spare instance, because an outage has left thousands of
/// overdue tasks and their pool has taken all remaining instances.
#[test]
fn overdue_takes_few() {
    let mut fleet = Fleet::new(2, 2, 60);
    let load = fleet.loads.get_mut("hot").expect("the pool exists");
    load.overdue.cpu = 20_000_000;
    fleet.run(4 * SECOND);
    assert!(fleet.count("hot") <= 5, "{}", fleet.count("hot"));
}

/// Guards against long-running work that cannot be placed for ten seconds. Its pool lacks one
/// instance for it, and another pool that lacks five for a surge takes the only spare instance, as
/// the others are under maintenance. The pool that cannot place long-running work goes first.
#[test]
fn lasting_first() {
    let mut fleet = Fleet::new(2, 1, 7);
    let off = fleet.instances.iter_mut();
    let off = off.filter(|i| i.pool.as_str() == "off");
    for instance in off.skip(1) {
        instance.state = InstanceState::Maintained;
    }
    fleet.set_demand("hot", 350);
    fleet.loads.get_mut("cold").expect("the pool exists").spread = 2;
    fleet.plan();
    let first = fleet.orders.first().map(pool_of);
    assert_eq!(first.as_deref(), Some("cold"));
}

/// Guards against waiting long-running work that counts twice, as if it were also a backlog of
/// short tasks.
#[test]
fn lasting_asked_once() {
    let mut fleet = Fleet::new(1, 1, 40);
    let load = fleet.loads.get_mut("hot").expect("the pool exists");
    let (cpu, memory) = (10 * 64_000, 0);
    load.lasting = Room {
        cpu,
        memory,
        gpu: 0,
    };
    load.waiting = load.lasting;
    fleet.run(4 * SECOND);
    assert_eq!(
        fleet.count("hot"),
        12,
        "10 instances, plus 10% headroom and half an instance in reserve"
    );
}

/// Guards against a new owner that takes a queue at its peak for an idle one. The arrivals that an
/// earlier owner counted provide the rate, and no instance is released at first.
#[test]
fn owner_changes_in_a_surge() {
    let mut fleet = Fleet::new(10, 1, 30);
    for _ in 0..10 {
        fleet.occupy("hot", 0, 1);
    }
    let now = fleet.now;
    let before = |ms| cactuswheel_model::Time::new(now.get() - ms);
    let load = fleet.loads.get_mut("hot").expect("the pool exists");
    load.used = fleet::UNIT;
    let arrivals = load.arrivals.entry("queue".into()).or_default();
    arrivals.restored = (0..60).map(|n| before(20 * (60 - n))).collect();
    arrivals.jobs = 60;
    fleet.add_arrivals("hot", 0);
    fleet.run(TICK);
    let asked = fleet.orders.iter().filter(|o| pool_of(o) == "hot");
    assert!(asked.count() >= 14, "50 jobs per second need 25 instances");
    fleet
        .loads
        .get_mut("hot")
        .expect("the pool exists")
        .arrivals
        .clear();
    fleet.run(SECOND);
    assert!(
        fleet.count("hot") >= 10,
        "a new owner releases nothing at first"
    );
}

/// Guards against two moves where one suffices: an instance that another pool is about to release
/// goes directly to the pool below its target, even if spare instances are available.
#[test]
fn surplus_lends_first() {
    let mut fleet = Fleet::new(2, 8, 8);
    fleet.set_demand("hot", 400);
    fleet.run(TICK);
    let lent = fleet.orders.iter().filter(|o| match o {
        InstanceOrder::Move { instance, pool } => {
            pool.as_str() == "hot" && instance.as_str().starts_with("cold")
        }
        InstanceOrder::Maintain { .. } => false,
    });
    assert_eq!(lent.count(), 6, "every instance that hot is missing");
}

/// Guards against instances that are kept for a second after a queue's load has ended: a decline
/// that chance does not explain takes effect immediately.
#[test]
fn fall_is_believed() {
    let mut fleet = Fleet::new(12, 1, 30);
    for _ in 0..60 {
        fleet.add_arrivals("hot", 2);
        fleet.run(TICK);
    }
    let before = fleet.orders.len();
    fleet.run(8 * TICK);
    let released = fleet.orders[before..]
        .iter()
        .filter(|o| pool_of(o) == "off");
    assert!(released.count() >= 4, "{:?}", &fleet.orders[before..]);
}
