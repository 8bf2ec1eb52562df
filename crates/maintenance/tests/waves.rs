//! Maintenance waves under injected faults.

mod world;

use std::time::Duration;

use cactuswheel_fleet::Stage;
use cactuswheel_maintenance::min_wave_duration;
use cactuswheel_model::{InstanceId, Time};
use cactuswheel_testkit::check;
use serde_json::json;
use world::{TICK, World};

/// Time within which a wave must be done once faults have stopped.
const LIMIT: Duration = Duration::from_secs(600);

fn id(n: u8) -> InstanceId {
    format!("w{}", n % 12).parse().unwrap()
}

/// Runs until the wave is done and returns the seconds taken; `None` if it exceeds [`LIMIT`].
fn run_until_done(world: &mut World) -> Option<u64> {
    let start = world.now;
    while world.now.since(start) < LIMIT {
        if world.is_done() {
            return Some(world.now.since(start).as_secs());
        }
        world.tick();
    }
    None
}

fn run(world: &mut World, time: Duration) {
    let until = world.now.after(time);
    while world.now < until {
        world.tick();
    }
}

/// Injects one fault, selected by three random bytes.
fn inject_fault(world: &mut World, [kind, target, amount]: [u8; 3]) {
    let n = usize::from(target) % world.nodes.len();
    let time = Duration::from_millis(u64::from(amount) * 100);
    let until = world.now.after(time);
    match kind % 13 {
        0 => world.nodes[n].pause = time,
        1 => world.nodes[n].repeat_delay = time,
        2 => world.nodes[n].paused_until = until,
        3 => world.replace(n),
        4 => world.platform_down = until,
        5 => world.workers.take_down(&id(target), until),
        6 => {
            // One rack holds every fourth instance.
            for step in 0..3 {
                world.workers.take_down(&id(target % 4 + step * 4), until);
            }
        }
        8 => world.nodes[n].unread_records = usize::from(amount) % 8,
        9 => world.nodes[n].status_lag = usize::from(amount) % 16,
        10 => world.nodes[n].isolated = amount % 2 == 0,
        11 => {
            let from = world.pool(&id(target)).to_owned();
            let to = if from == "check" { "render" } else { "check" };
            let wanted = json!({"instance": id(target), "from": from, "to": to});
            world.append(json!({"moves": {"moves": [wanted]}}).to_string());
        }
        7 => world.workers.keep_busy(&id(target), until),
        _ => {
            let paused = amount % 2 == 0;
            let record = json!({"wave": {"number": 1, "paused": paused}});
            world.append(record.to_string());
        }
    }
}

fn wave_completes(faults: Vec<(u8, u8, u8)>) -> bool {
    let mut world = World::new(3);
    if faults.len() % 2 == 1 {
        // Isolated entries compete for every grant, and each has read a different part of the log.
        for (n, node) in world.nodes.iter_mut().enumerate() {
            node.isolated = true;
            node.unread_records = n;
        }
    }
    for (kind, target, amount) in faults {
        inject_fault(&mut world, [kind, target, amount]);
        run(&mut world, Duration::from_secs(2));
    }
    for node in &mut world.nodes {
        node.pause = Duration::ZERO;
        node.repeat_delay = Duration::ZERO;
        node.unread_records = 0;
        node.status_lag = 0;
        node.isolated = false;
    }
    world.append(json!({"wave": {"number": 1}}).to_string());
    let ended = run_until_done(&mut world);
    let left: Vec<_> = world.state.disruptions().outages().collect();
    assert!(ended.is_some(), "wave not done, outages left: {left:?}");
    true
}

#[test]
fn any_faults() {
    check(4102, 400, wave_completes as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn near_bound() {
    // Six driver steps per outage come on top of draining, rebooting and settling. They weigh
    // heavily here, where a reboot takes seconds, and little with real reboots.
    let mut world = World::new(3);
    let outage =
        world::settings().settle_time + world::settings().idle_time + Duration::from_secs(4);
    let bound = min_wave_duration(&world.state, outage + TICK * 6).unwrap();
    let took = run_until_done(&mut world).unwrap();
    assert!(took <= bound.as_secs(), "{took} s, bound {bound:?}");
}

#[test]
fn paused_holder() {
    // Entry e0 reads its commit from the log and is paused just before it orders the reboot.
    // Another entry orders the reboot, the instance returns and the next one of the pool goes
    // down. Then e0 resumes and sends its stale order, which must not reboot the instance again.
    let mut world = World::new(2);
    run(&mut world, Duration::from_millis(2_500));
    world.nodes[0].pause = Duration::from_secs(30);
    run(&mut world, Duration::from_secs(29));
    world.nodes[0].pause = Duration::ZERO;
    assert!(run_until_done(&mut world).is_some());
    let fleet = world.state.config().instances.values();
    for instance in fleet {
        assert_eq!(
            world
                .state
                .disruptions()
                .last_incarnation(&instance.id)
                .get(),
            2
        );
    }
}

#[test]
fn stuck_instance() {
    // An instance does not return from its reboot. It counts against its pool's budget until it
    // returns, however long that takes, and the wait reasons name it.
    let mut world = World::new(1);
    world.workers.stuck = vec![id(8)];
    run(&mut world, Duration::from_secs(120));
    let current = world.state.disruptions().outage(&id(8)).unwrap();
    assert!(matches!(current.stage, Stage::Rebooting(_)));
    let done = |n| world.state.disruptions().last_wave(&id(n)).is_some();
    assert!((0..8).all(done));
    assert!(!(9..12).any(done), "the budget of the pool is one instance");
    let reasons = world.nodes[0].wait_reasons(world.now, &world.workers);
    assert!(
        reasons
            .iter()
            .any(|r| r == "w8 is not back from its reboot")
    );
    assert!(
        reasons
            .iter()
            .any(|r| r.starts_with("3 wait: pool check: 1 of 4 down"))
    );
}

#[test]
fn dark_platform() {
    // The platform becomes unavailable during a wave. Instances whose reboot was ordered return,
    // no further instance goes down, and the wave continues by itself once the platform answers.
    let mut world = World::new(2);
    run(&mut world, Duration::from_secs(4));
    world.platform_down = world.now.after(Duration::from_secs(60));
    run(&mut world, Duration::from_secs(8));
    let records = world.log.len();
    run(&mut world, Duration::from_secs(50));
    assert_eq!(world.log.len(), records);
    assert_eq!(world.workers.rebooting().count(), 0);
    assert!(run_until_done(&mut world).is_some());
}

#[test]
fn busy_instance() {
    let mut world = World::new(2);
    world.workers.keep_busy(&id(0), Time::new(60_000));
    run(&mut world, Duration::from_secs(40));
    let disruptions = world.state.disruptions();
    assert!(disruptions.deferred(&id(0)).is_some());
    assert!((1..8).all(|n| disruptions.last_wave(&id(n)).is_some()));
    assert!(run_until_done(&mut world).is_some());
}

#[test]
fn wanted_moves() {
    // During a wave, moves of two instances to another pool are wanted, and one of the two stays
    // busy for long. Both are moved and serve in the new pool.
    let mut world = World::new(3);
    let wanted = |n: u8| json!({"instance": id(n), "from": "render", "to": "check"});
    let list = json!({"moves": {"moves": [wanted(1), wanted(2)]}});
    world.append(list.to_string());
    world.workers.keep_busy(&id(2), Time::new(40_000));
    assert!(run_until_done(&mut world).is_some());
    assert_eq!(world.state.disruptions().wanted_moves(), []);
    for n in [1, 2] {
        let moved = world.state.config().instances.get(&id(n)).unwrap();
        assert_eq!(moved.pool.as_str(), "check");
    }
}

#[test]
fn placed_job() {
    // A job that runs for days is placed on an instance that currently serves no request. The
    // drain must not use up the budget indefinitely: the instance is postponed and the wave
    // continues with others. Once the job has ended, the instance is rebooted as well.
    let mut world = World::new(2);
    let team = json!({"team": {"id": "lab", "share": 1, "limit": 9, "jobs": 2}});
    let room = json!({"cores": 4, "memory": 100});
    let spec = json!({"pool": "render", "room": room, "retry": "never"});
    let submit = json!({"submit": {"job": "lab/a", "at": 1, "spec": spec}});
    let place = json!({"place": {"job": "lab/a", "attempt": 1, "worker": "w0",
        "incarnation": 1, "room": room}});
    world.append(json!({"ticket": {"ticket": 2, "changes": [team]}}).to_string());
    world.append(json!({"jobs": [submit, place]}).to_string());
    run(&mut world, Duration::from_secs(60));
    let disruptions = world.state.disruptions();
    assert!(disruptions.deferred(&id(0)).is_some());
    assert!((1..8).all(|n| disruptions.last_wave(&id(n)).is_some()));
    let end = json!({"end": {"job": "lab/a", "attempt": 1, "end": "done"}});
    world.append(json!({"jobs": [end]}).to_string());
    assert!(run_until_done(&mut world).is_some());
}

#[test]
fn lost_rack() {
    // A rack is lost during a wave, which uses up the budgets of both pools. No further instance
    // goes down until the rack returns; then the wave continues.
    let mut world = World::new(3);
    run(&mut world, Duration::from_secs(3));
    let until = world.now.after(Duration::from_secs(60));
    for n in [3, 7, 11] {
        world.workers.take_down(&id(n), until);
    }
    run(&mut world, Duration::from_secs(15));
    for _ in 0..60 {
        world.tick();
        assert_eq!(world.workers.rebooting().count(), 0);
    }
    let reasons = world.nodes[0].wait_reasons(world.now, &world.workers);
    assert!(
        reasons
            .iter()
            .any(|r| r.contains("pool render: 2 of 8 down"))
    );
    assert!(run_until_done(&mut world).is_some());
}
