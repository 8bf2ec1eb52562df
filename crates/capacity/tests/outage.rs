//! Pools during an outage in which no arrivals can be seen.

mod fleet;

use std::time::Duration;

use cactuswheel_demand::HoldPolicy;
use cactuswheel_model::Time;
use cactuswheel_work::InstanceOrder;
use fleet::{Fleet, TICK};

const SECOND: Duration = Duration::from_secs(1);

/// A fleet whose pools are held during an outage.
fn held(hot: usize, cold: usize, off: usize) -> Fleet {
    let mut fleet = Fleet::new(hot, cold, off);
    let planner = std::mem::replace(&mut fleet.planner, Fleet::new(0, 0, 0).planner);
    fleet.planner = planner.with_hold(HoldPolicy {
        enabled: true,
        ..HoldPolicy::default()
    });
    fleet
}

/// A pool at work whose jobs arrive at 20 per second and need ten instances.
fn steady() -> Fleet {
    let mut fleet = held(12, 1, 30);
    for _ in 0..60 {
        fleet.add_arrivals("hot", 2);
        fleet.run(TICK);
    }
    fleet
}

/// Number of orders from `before` on that send an instance to a pool.
fn sent_to(fleet: &Fleet, before: usize, to: &str) -> usize {
    let orders = fleet.orders[before..].iter();
    let matching = orders.filter(|o| match o {
        InstanceOrder::Move { pool, .. } => pool.as_str() == to,
        InstanceOrder::Maintain { .. } => false,
    });
    matching.count()
}

/// Guards against a pool that is sent away during an outage of the store: jobs are refused, so none
/// arrive, and the instances for them stand idle.
#[test]
fn journal_is_silent() {
    let mut fleet = steady();
    let (before, had) = (fleet.orders.len(), fleet.count("hot"));
    let sent = fleet.now;
    // The batch counts as late only after a while.
    fleet.run(3 * TICK);
    let early = sent_to(&fleet, before, "off");
    fleet.run_blocked(5 * SECOND, sent);
    assert_eq!(sent_to(&fleet, before, "off"), early, "none leaves");
    assert!(fleet.count("hot") + early >= had, "{}", fleet.count("hot"));
}

/// Guards against instances that are sent away in an outage because running work ends and none can
/// start after it.
#[test]
fn work_ends_in_silence() {
    let mut fleet = held(2, 1, 30);
    fleet.set_demand("hot", 400);
    fleet.run(3 * SECOND);
    let (before, had) = (fleet.orders.len(), fleet.count("hot"));
    let sent = fleet.now;
    fleet.set_demand("hot", 0);
    fleet.run_blocked(5 * SECOND, sent);
    assert_eq!(sent_to(&fleet, before, "off"), 0);
    assert_eq!(fleet.count("hot"), had);
}

/// Guards against a surge whose instances are ordered only after the outage in which it begins. No
/// instance may be ordered as the journal falls silent; when some may, the rate from before the
/// silence counts.
#[test]
fn surge_begins_in_silence() {
    let mut fleet = held(2, 1, 20);
    let off = fleet.instances.iter();
    let off = off.filter(|i| i.pool.as_str() == "off");
    fleet.reserved = off.map(|i| (i.name.clone(), None)).collect();
    fleet.run(2 * SECOND);
    for _ in 0..5 {
        fleet.add_arrivals("hot", 4);
        fleet.run(TICK);
    }
    let sent = fleet.now;
    fleet.run(3 * TICK);
    fleet.run_blocked(2 * SECOND, sent);
    fleet.reserved.clear();
    fleet.run_blocked(3 * SECOND, sent);
    let count = fleet.count("hot");
    assert!(count >= 15, "{count} for 40 jobs per second");
}

/// Guards against a pool that shrinks in the moment in which the store is back, before the refused
/// callers are. The hold ends after that, and an idle pool shrinks.
#[test]
fn settles_before_release() {
    let mut fleet = steady();
    let sent = fleet.now;
    fleet.run_blocked(4 * SECOND, sent);
    let before = fleet.orders.len();
    fleet.run(15 * TICK);
    assert_eq!(sent_to(&fleet, before, "off"), 0, "callers come back");
    fleet.run(5 * SECOND);
    assert!(fleet.count("hot") <= 3, "{}", fleet.count("hot"));
}

/// Guards against a pool that waits for instances which another holds without use: during a hold, a
/// pool that does not want an idle instance still lends it.
#[test]
fn others_still_grow() {
    let mut fleet = held(12, 1, 0);
    fleet.run(TICK);
    let sent = fleet.now;
    fleet.run_blocked(SECOND, sent);
    fleet.set_demand("cold", 300);
    fleet.run_blocked(3 * SECOND, sent);
    assert!(fleet.count("cold") >= 5, "{}", fleet.count("cold"));
}

/// Guards against an owner that is lost in the middle of an outage: its successor sees no arrivals
/// of the seconds before it took over, and nothing runs any more. The arrivals from before the
/// outage count.
#[test]
fn owner_lost() {
    let mut fleet = held(10, 1, 30);
    let now = fleet.now;
    let load = fleet.loads.get_mut("hot").expect("the pool exists");
    let arrivals = load.arrivals.entry("queue".into()).or_default();
    let accepted = |n: u64| Time::new(now.get() - 5_000 - 50 * (40 - n));
    arrivals.restored = (0..40).map(accepted).collect();
    arrivals.jobs = 40;
    fleet.add_arrivals("hot", 0);
    fleet.run(15 * TICK);
    assert_eq!(sent_to(&fleet, 0, "off"), 0);
    assert!(fleet.count("hot") >= 10, "{}", fleet.count("hot"));
    fleet.run(5 * SECOND);
    assert!(fleet.count("hot") <= 3, "{}", fleet.count("hot"));
}

/// With the hold switched off, silence counts as calm.
#[test]
fn switched_off() {
    let mut fleet = steady();
    let planner = std::mem::replace(&mut fleet.planner, Fleet::new(0, 0, 0).planner);
    fleet.planner = planner.with_hold(HoldPolicy::default());
    let sent = fleet.now;
    fleet.run_blocked(5 * SECOND, sent);
    assert!(fleet.count("hot") <= 3, "{}", fleet.count("hot"));
}
