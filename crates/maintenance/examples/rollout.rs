//! Simulates maintenance waves. Prints the duration of each wave next to its lower bound, and the
//! run time of driver steps.
//!
//! `cargo run --release -p cactuswheel-maintenance --example rollout`

use std::time::{Duration, Instant};

use cactuswheel_fleet::State;
use cactuswheel_maintenance::{
    Action, Activity, Driver, OrderKind, RosterStatus, Settings, View, WorkerStatus,
    min_wave_duration,
};
use cactuswheel_model::{EntryId, Incarnation, InstanceId, Map, Offset, Record, Time};
use serde_json::json;

/// Duration of a reboot.
const REBOOT: Duration = Duration::from_secs(60);

/// Interval between driver steps; the same as in the daemon.
const TICK: Duration = Duration::from_millis(500);

/// Workers per rack.
const WORKERS_PER_RACK: usize = 4;

/// Simulated time after which a wave is abandoned.
const LIMIT: Duration = Duration::from_secs(24 * 3_600);

struct Worker {
    generation: u64,
    reboot_end: Option<Time>,
    drained: Option<Offset>,
}

struct World {
    now: Time,
    state: State,
    workers: Map<InstanceId, Worker>,
    /// Total run time of the driver steps, their number, and the longest one.
    step_times: (Duration, u32, Duration),
    max_down: usize,
}

fn main() {
    for (name, workers, pools, dcs) in [
        ("50 workers, 5 pools", 50, 5, 3),
        ("8700 workers, 63 pools", 8_700, 63, 25),
    ] {
        for percent in [10, 25] {
            println!("{name}, budgets of {percent} %");
            let free = "as parallel as budgets allow";
            run_case(free, workers, pools, dcs, percent, workers);
            if workers > 1_000 {
                run_case("at most 200 at once", workers, pools, dcs, percent, 200);
            }
            if workers < 100 {
                run_case("one instance at a time", workers, pools, dcs, percent, 1);
            }
        }
    }
}

fn run_case(name: &str, workers: usize, pools: usize, dcs: usize, percent: usize, parallel: usize) {
    let settings = Settings {
        parallel,
        ..Settings::default()
    };
    let outage = settings.idle_time + REBOOT + settings.settle_time;
    let mut world = World::new(workers, pools, dcs, percent);
    let bound = min_wave_duration(&world.state, outage).unwrap_or_default();
    let took = world.run(Driver::new(settings));
    let (step_times, steps, longest) = world.step_times;
    println!(
        "  {name:28} {} s, bound {} s, ratio {:.2}; most at once {}; step {:?} mean, {longest:?} \
         longest",
        took.as_secs(),
        bound.as_secs(),
        took.as_secs_f64() / bound.as_secs_f64(),
        world.max_down,
        step_times / steps.max(1),
    );
}

impl World {
    fn new(workers: usize, pools: usize, dcs: usize, percent: usize) -> Self {
        let mut changes = Vec::new();
        for dc in 0..dcs {
            changes.push(json!({"dc": {"id": format!("dc{dc:02}"), "region": "r"}}));
        }
        for pool in 0..pools {
            let name = format!("p{pool}");
            let max = (workers / pools * percent / 100).max(1);
            changes.push(json!({"pool": {"id": name}}));
            changes.push(json!({"service": {"id": name, "pool": name, "max_down": max}}));
        }
        let racks = workers.div_ceil(WORKERS_PER_RACK);
        for n in 0..workers {
            let rack = n / WORKERS_PER_RACK;
            changes.push(json!({"instance": {"id": format!("w{n:05}"),
                "pool": format!("p{}", n % pools), "dc": format!("dc{:02}", rack * dcs / racks),
                "rack": format!("r{rack:04}"), "cores": 64, "memory": 131072, "slots": 8,
                "conns": 64}}));
        }
        let mut world = Self {
            now: Time::new(0),
            state: State::default(),
            workers: Map::default(),
            step_times: (Duration::ZERO, 0, Duration::ZERO),
            max_down: 0,
        };
        world.append(&json!({"ticket": {"ticket": 1, "changes": changes}}).to_string());
        world.append(&json!({"wave": {"number": 1}}).to_string());
        let ids = world.state.config().instances.values();
        let worker = |id: &InstanceId| {
            (
                id.clone(),
                Worker {
                    generation: 1,
                    reboot_end: None,
                    drained: None,
                },
            )
        };
        world.workers = ids.map(|i| worker(&i.id)).collect();
        world
    }

    fn append(&mut self, body: &str) {
        self.state.apply(self.state.next(), body);
    }

    /// Runs the wave to its end and returns its simulated duration.
    fn run(&mut self, mut driver: Driver) -> Duration {
        let entry: EntryId = "e1".parse().expect("a name");
        while self.pending() > 0 && self.now < Time::default().after(LIMIT) {
            self.now = self.now.after(TICK);
            self.finish_reboots();
            let (seen, statuses) = (self.seen(), self.statuses(&driver));
            let view = View {
                now: self.now,
                unix_time: 0,
                entry: &entry,
                rank: 0,
                state: &self.state,
                staleness: Duration::ZERO,
                roster: &seen,
                statuses: &statuses,
            };
            let start = Instant::now();
            let actions = driver.step(&view);
            let took = start.elapsed();
            self.step_times.0 += took;
            self.step_times.1 += 1;
            self.step_times.2 = self.step_times.2.max(took);
            actions.into_iter().for_each(|action| self.apply(action));
        }
        self.now.since(Time::default())
    }

    fn pending(&self) -> usize {
        let turn = |id| self.state.disruptions().last_wave(id).is_none();
        self.workers.keys().filter(|id| turn(id)).count()
    }

    fn finish_reboots(&mut self) {
        for worker in self.workers.values_mut() {
            if worker.reboot_end.is_some_and(|at| at <= self.now) {
                worker.generation += 1;
                worker.reboot_end = None;
                worker.drained = None;
            }
        }
        let down = self.workers.values().filter(|w| w.reboot_end.is_some());
        self.max_down = self.max_down.max(down.count());
    }

    fn seen(&self) -> Map<InstanceId, RosterStatus> {
        let up = self.workers.iter().filter(|(_, w)| w.reboot_end.is_none());
        let seen = |generation| RosterStatus {
            incarnation: Incarnation::new(generation),
            live: true,
        };
        up.map(|(id, w)| (id.clone(), seen(w.generation))).collect()
    }

    fn statuses(&self, driver: &Driver) -> Map<InstanceId, WorkerStatus> {
        let watched = driver.instances_to_poll(&self.state).into_iter();
        watched
            .map(|id| {
                let worker = &self.workers[&id];
                let activity = match (worker.reboot_end, worker.drained) {
                    (Some(_), _) => Activity::Down,
                    (None, Some(fence)) => Activity::Draining(fence),
                    (None, None) => Activity::Serving,
                };
                let status = WorkerStatus {
                    incarnation: Incarnation::new(worker.generation),
                    activity,
                    running: Some(0),
                };
                (id, status)
            })
            .collect()
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Propose(step) => {
                let record = Record::Disruption(step);
                self.append(&serde_json::to_string(&record).expect("record serializes to JSON"));
            }
            Action::StartWave(_) => {}
            Action::Order(order) => {
                let Some(worker) = self.workers.get_mut(&order.instance) else {
                    return;
                };
                match order.kind {
                    OrderKind::Drain => worker.drained = Some(order.fence),
                    OrderKind::Resume => worker.drained = None,
                    OrderKind::Reboot => worker.reboot_end = Some(self.now.after(REBOOT)),
                }
            }
        }
    }
}
