//! Demand that the capacity planner is told of: work that all instances of the fleet together could
//! not run asks for no instance.

mod world;

use std::time::Duration;

use cactuswheel_cell::Load;
use cactuswheel_work::{Instance, InstanceName, InstanceState, Room, Step, Submission};
use world::{World, config, job, steps};

const SECOND: Duration = Duration::from_secs(1);

/// Number of instances, each with room for eight tasks; two of them have the label `rare`.
const INSTANCES: usize = 12;

/// Number of those on which workers of the pool run.
const WORKERS: usize = 4;

const ROOM: Room = Room {
    cpu: 32_000,
    memory: 131_072,
    gpu: 0,
};

fn instance(number: usize) -> Instance {
    let rare = (number >= INSTANCES - 2).then(|| "rare".to_owned());
    Instance {
        name: InstanceName::from(format!("instance-{number}")),
        pool: if number < WORKERS { "pool" } else { "off" }.into(),
        state: InstanceState::Up,
        zone: "dc".into(),
        labels: ["a".to_owned(), "r1".to_owned()]
            .into_iter()
            .chain(rare)
            .collect(),
        room: ROOM,
        worker: None,
    }
}

fn world(seed: u64) -> World {
    let mut world = World::new(seed, WORKERS);
    let instances: Vec<Instance> = (0..INSTANCES).map(instance).collect();
    world.cell().list_instances(&instances);
    world.advance(SECOND);
    world
}

/// One step of `count` tasks, changed by `change`.
fn step(count: u32, change: impl FnOnce(&mut Step)) -> Step {
    let mut step = steps(1, count, 1_000).remove(0);
    change(&mut step);
    step
}

fn without_team(id: u64, steps: Vec<Step>) -> Submission {
    Submission {
        team: None,
        ..job(id, steps)
    }
}

/// The load of the pool with jobs of these steps, one step a job.
fn load_of(steps: Vec<Step>) -> Load {
    let mut world = world(1);
    for (id, step) in steps.into_iter().enumerate() {
        world.submit(without_team(id as u64, vec![step]));
    }
    world.advance(SECOND / 10);
    world.cell().loads()["pool"].clone()
}

/// Guards against a pool that takes nearly all instances from the others for work that none of them
/// can run.
#[test]
fn asks_for_nothing() {
    type Change = fn(&mut Step);
    let causes: [(&str, Change); 4] = [
        ("label", |s| s.label = Some("none".into())),
        ("size", |s| s.room.cpu = 640_000),
        ("spread and label", |s| {
            s.label = Some("none".into());
            s.spread = 1;
        }),
        ("gang", |s| s.gang = true),
    ];
    for (cause, change) in causes {
        for lasting in [true, false] {
            let hopeless = step(240, |s| {
                change(s);
                s.lasting = lasting;
            });
            let load = load_of(vec![hopeless]);
            let what = format!("{cause}, lasting: {lasting}");
            assert_eq!(load.lasting, Room::default(), "{what}");
            assert_eq!(load.waiting, Room::default(), "{what}");
            assert_eq!(load.forecast.at(0), Room::default(), "{what}");
            assert!(load.spread <= 1, "{what}: spread {}", load.spread);
            assert!(load.unplaceable.cpu >= 240 * 4_000, "{what}");
            let profile = load.arrivals.values().next().map(|a| a.profile.at(0));
            assert_eq!(profile.unwrap_or_default(), Room::default(), "{what}");
        }
    }
}

/// Guards against instances that are asked for beyond those that have the label: each step could
/// run, all of them together could not.
#[test]
fn label_shared() {
    for lasting in [true, false] {
        let labelled = || {
            step(1, |s| {
                s.label = Some("rare".into());
                s.lasting = lasting;
            })
        };
        let load = load_of((0..100).map(|_| labelled()).collect());
        assert_eq!(load.waiting.cpu, 2 * ROOM.cpu, "lasting: {lasting}");
        assert!(
            load.lasting.cpu <= 2 * ROOM.cpu,
            "lasting: {}",
            load.lasting.cpu
        );
    }
}

/// Guards against a step that is spread over more workers than there are instances with its label.
#[test]
fn spread_beyond_label() {
    let load = load_of(vec![step(40, |s| {
        s.label = Some("rare".into());
        s.lasting = true;
        s.spread = 1;
    })]);
    assert_eq!((load.spread, load.lasting.cpu), (2, 8_000));
    assert_eq!(load.unplaceable.cpu, 38 * 4_000);
}

/// Guards against a pool that does not grow for work that its own workers cannot run and more
/// instances can.
#[test]
fn doable_counts() {
    let gang = step(60, |s| s.gang = true);
    assert_eq!(load_of(vec![gang]).waiting.cpu, 240_000);
    let lasting = step(60, |s| s.lasting = true);
    assert_eq!(load_of(vec![lasting]).lasting.cpu, 240_000);
    let waves = step(500, |_| {});
    let load = load_of(vec![waves]);
    assert_eq!(load.waiting.cpu + load.used.cpu, 2_000_000);
}

/// Guards against later steps that nobody can run and that are expected to start soon.
#[test]
fn later_steps() {
    let mut world = world(2);
    let mut both = steps(2, 1, 100);
    both[1].count = 240;
    both[1].gang = true;
    world.submit(without_team(1, both));
    world.advance(SECOND / 10);
    let load = &world.cell().loads()["pool"];
    for slot in 0..cactuswheel_cell::SLOTS {
        assert!(load.forecast.at(slot).cpu <= 4_000, "slot {slot}");
    }
}

/// Guards against a team's demand that is not seen because hopeless tasks of the same team use up
/// what its quota leaves.
#[test]
fn quota_left() {
    let mut world = world(3);
    let cap = config().teams.values().next().map(|t| t.cap.0.cpu);
    assert_eq!(cap, Some(60_000));
    for id in 0..20 {
        let hopeless = step(15, |s| s.label = Some("none".into()));
        world.submit(job(id, vec![hopeless]));
    }
    world.worker(0).work_ms = 8_000;
    world.submit(job(100, vec![step(10, |_| {})]));
    world.advance(SECOND / 10);
    let load = &world.cell().loads()["pool"];
    assert_eq!(load.used.cpu + load.waiting.cpu, 40_000);
}

/// Guards against instances that are asked for by long-running tasks beyond their team's quota.
#[test]
fn lasting_beyond_quota() {
    let mut world = world(4);
    world.submit(job(1, vec![step(60, |s| s.lasting = true)]));
    world.advance(SECOND / 10);
    let load = &world.cell().loads()["pool"];
    assert_eq!(load.lasting.cpu, 60_000);
}

/// Guards against instances that are asked for by a gang which its team's quota never admits.
#[test]
fn gang_beyond_quota() {
    let mut world = world(5);
    world.submit(job(1, vec![step(20, |s| s.gang = true)]));
    world.advance(SECOND / 10);
    assert_eq!(world.cell().loads()["pool"].waiting, Room::default());
}
