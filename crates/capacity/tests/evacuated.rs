//! Pools during the evacuation of a data centre.

mod fleet;

use std::time::Duration;

use cactuswheel_capacity::Action;
use cactuswheel_work::{InstanceOrder, Room};
use fleet::Fleet;

const SECOND: Duration = Duration::from_secs(1);

/// Two instances of each pool and two spare ones are in the data centre `lost`, and as many are
/// elsewhere.
fn two_zones() -> Fleet {
    let mut fleet = Fleet::new(4, 4, 4);
    for instance in &mut fleet.instances {
        let name = instance.name.as_str();
        if name.ends_with("-0") || name.ends_with("-1") {
            instance.zone = "lost".into();
        }
    }
    fleet
}

fn evacuate(fleet: &mut Fleet) {
    fleet.evacuated = [("lost").into()].into_iter().collect();
    let lost = |i: &&cactuswheel_work::Instance| i.zone.as_str() == "lost";
    let lost = fleet.instances.iter().filter(lost);
    let lost: Vec<_> = lost.filter_map(|i| i.worker.clone()).collect();
    for worker in lost {
        let view = fleet.workers.get_mut(&worker).expect("the worker exists");
        (view.evacuated, view.closing) = (true, true);
    }
}

/// Guards against a pool that counts on instances where no work may start. It neither takes such
/// instances from elsewhere nor reopens its own, and grows with other instances.
#[test]
fn grows_elsewhere() {
    let mut fleet = two_zones();
    evacuate(&mut fleet);
    fleet.set_demand("hot", 4 * 64);
    let actions = fleet.plan();
    assert!(
        !actions.iter().any(|d| matches!(d, Action::Reopen(_))),
        "{actions:?}"
    );
    let moved = fleet.orders.iter().filter_map(|o| match o {
        InstanceOrder::Move { instance, pool } if pool.as_str() == "hot" => Some(instance),
        _ => None,
    });
    let moved: Vec<_> = moved.collect();
    assert!(
        !moved.is_empty(),
        "two of four instances remain for the work of four"
    );
    let lost = |n: &str| n.ends_with("-0") || n.ends_with("-1");
    assert!(!moved.iter().any(|n| lost(n.as_str())), "{moved:?}");
}

/// Guards against a pool that grows by the number of instances which long-running work keeps busy
/// in the evacuated data centre.
#[test]
fn lasting_goes_on() {
    let mut fleet = two_zones();
    let load = fleet.loads.get_mut("hot").expect("the pool exists");
    let (cpu, memory) = (64_000, 0);
    let whole = Room {
        cpu,
        memory,
        gpu: 0,
    };
    load.lasting = whole * 2;
    load.used = whole * 2;
    evacuate(&mut fleet);
    let views = fleet.workers.values_mut();
    let inside = views.filter(|v| v.evacuated && v.service.as_str() == "hot");
    for view in inside {
        (view.lasting, view.runs, view.used) = (1, 1, whole);
    }
    fleet.run(2 * SECOND);
    let grown = fleet.orders.iter().filter(|o| match o {
        InstanceOrder::Move { pool, .. } => pool.as_str() == "hot",
        InstanceOrder::Maintain { .. } => false,
    });
    assert_eq!(grown.count(), 0);
}
