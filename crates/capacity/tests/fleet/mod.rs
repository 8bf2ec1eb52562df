//! A small simulated fleet that executes the planner's actions.
#![allow(dead_code, unused_imports)] // Each test file uses its own part.

use std::collections::VecDeque;
use std::time::Duration;

use cactuswheel_capacity::{Action, History, Planner, Snapshot, Timings};
use cactuswheel_cell::{Forecast, Load, WorkerView};
use cactuswheel_demand::{Blockage, Cause};
use cactuswheel_model::{Map, Millis, Set, Time};
use cactuswheel_work::{
    Instance, InstanceName, InstanceOrder, InstanceOutcome, InstanceState, Room, ServiceName, Wave,
    WorkerId, ZoneName,
};

/// Duration of a move or of maintenance in this fleet.
const TRANSIT_TIME: Duration = Duration::from_millis(1_500);

/// Interval between two plans.
pub const TICK: Duration = Duration::from_millis(100);

pub const UNIT: Room = Room {
    cpu: 64_000,
    memory: 131_072,
    gpu: 0,
};

/// A small fleet with two service pools and one spare pool.
pub struct Fleet {
    pub now: Time,
    pub planner: Planner,
    pub instances: Vec<Instance>,
    pub workers: Map<WorkerId, WorkerView>,
    pub loads: Map<ServiceName, Load>,
    pub waves: Vec<Wave>,
    pub reserved: Map<InstanceName, Option<u64>>,
    pub evacuated: Set<ZoneName>,
    /// All orders so far.
    pub orders: Vec<InstanceOrder>,
    /// Outcomes of the next orders, which are not carried out; later ones are done at once.
    pub outcomes: VecDeque<InstanceOutcome>,
    /// Whether the wave last reported to the operators was complete.
    pub complete: Option<bool>,
    /// Start times of waves, as stored.
    pub wave_starts: Vec<(u64, Time)>,
    /// Why the cell cannot start work.
    pub blockage: Option<Blockage>,
    /// Workers that have to be empty by a time.
    pub vacated: Vec<(WorkerId, Time)>,
    /// Workers whose long-running tasks have no other place.
    pub stuck: Set<WorkerId>,
    in_transit: Vec<(Time, InstanceName)>,
    workers_started: u64,
}

impl Fleet {
    /// Creates a fleet with `hot` and `cold` instances in two pools, and `off` in the spare pool.
    pub fn new(hot: usize, cold: usize, off: usize) -> Self {
        let mut fleet = Self {
            now: Time::new(1_000_000),
            planner: planner(Vec::new()),
            instances: Vec::new(),
            workers: Map::default(),
            loads: Map::default(),
            waves: Vec::new(),
            reserved: Map::default(),
            evacuated: Set::default(),
            orders: Vec::new(),
            outcomes: VecDeque::new(),
            complete: None,
            wave_starts: Vec::new(),
            blockage: None,
            vacated: Vec::new(),
            stuck: Set::default(),
            in_transit: Vec::new(),
            workers_started: 0,
        };
        for (pool, count) in [("hot", hot), ("cold", cold), ("off", off)] {
            for number in 0..count {
                fleet.add(pool, number);
            }
        }
        for pool in ["hot", "cold"] {
            let load = Load {
                queues: 1,
                ..Load::default()
            };
            fleet.loads.insert(pool.into(), load);
        }
        fleet
    }

    fn add(&mut self, pool: &str, number: usize) {
        let name = InstanceName::from(format!("{pool}-{number}"));
        self.instances.push(Instance {
            name: name.clone(),
            pool: pool.into(),
            state: InstanceState::Up,
            zone: "dc".into(),
            labels: vec!["a".into(), "r1".into()],
            room: UNIT,
            worker: None,
        });
        self.start_worker(&name);
    }

    fn start_worker(&mut self, name: &InstanceName) {
        self.workers_started += 1;
        let id = WorkerId::from(format!("life-{}", self.workers_started));
        let mut instances = self.instances.iter_mut();
        let instance = instances
            .find(|i| i.name == *name)
            .expect("the instance is listed");
        instance.state = InstanceState::Up;
        if instance.pool.as_str() == "off" {
            instance.worker = None;
            return;
        }
        instance.worker = Some(id.clone());
        let view = WorkerView {
            worker: id.clone(),
            service: instance.pool.clone(),
            open: true,
            closing: false,
            evacuated: false,
            spent: false,
            room: UNIT,
            used: Room::default(),
            lasting: 0,
            runs: 0,
        };
        self.workers.insert(id, view);
    }

    /// Places tasks on the first worker of a pool that runs none; `runs` includes the long-running
    /// ones.
    pub fn occupy(&mut self, pool: &str, lasting: usize, runs: usize) {
        let mut views: Vec<_> = self.workers.values_mut().collect();
        views.sort_by(|a, b| a.worker.cmp(&b.worker));
        let view = views
            .into_iter()
            .find(|v| v.service.as_str() == pool && v.runs == 0);
        let view = view.expect("the pool has an empty worker");
        view.lasting = lasting;
        view.runs = runs;
        view.used.cpu = 4_000 * runs as u64;
    }

    /// Sets the cores that a pool's work requests, now and for the coming seconds.
    pub fn set_demand(&mut self, pool: &str, cores: u64) {
        self.set_demand_for(pool, cores, u64::MAX);
    }

    /// Sets the cores that a pool's work requests for `time` milliseconds from now.
    pub fn set_demand_for(&mut self, pool: &str, cores: u64, time: u64) {
        let load = self.loads.get_mut(pool).expect("the pool exists");
        load.waiting.cpu = cores * 1_000;
        load.work = cores * time.min(4_000);
        load.forecast = Forecast::default();
        load.forecast.add(load.waiting, 0, time);
    }

    /// Adds jobs that each request 64 cores for half a second.
    pub fn add_arrivals(&mut self, pool: &str, jobs: u64) {
        let load = self.loads.get_mut(pool).expect("the pool exists");
        let arrivals = load.arrivals.entry("queue".into()).or_default();
        arrivals.jobs += jobs;
        arrivals.profile = Forecast::default();
        arrivals.profile.add(UNIT, 0, 500);
    }

    pub fn count(&self, pool: &str) -> usize {
        self.workers
            .values()
            .filter(|v| v.service.as_str() == pool && !v.closing)
            .count()
    }

    /// Plans once, executes the actions, and returns those that are not orders.
    pub fn plan(&mut self) -> Vec<Action> {
        let spare = [ServiceName::from("off")];
        let snapshot = Snapshot {
            now: self.now,
            loads: &self.loads,
            workers: &self.workers,
            instances: &self.instances,
            listed: self.now,
            waves: &self.waves,
            spare: &spare,
            reserved: &self.reserved,
            evacuated: &self.evacuated,
        };
        self.planner.observe(self.now, self.blockage);
        let actions = self.planner.plan(&snapshot);
        let (orders, others): (Vec<_>, Vec<_>) = actions
            .into_iter()
            .partition(|d| matches!(d, Action::Order { .. }));
        for action in orders {
            if let Action::Order { order, worker } = action {
                self.execute(order, worker);
            }
        }
        for action in &others {
            self.apply(action);
        }
        others
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Close { worker, .. } => {
                if let Some(view) = self.workers.get_mut(worker) {
                    view.closing = true;
                    if !self.stuck.contains(worker) {
                        // Evicted long-running tasks start on other workers.
                        view.runs -= view.lasting;
                        view.lasting = 0;
                    }
                }
            }
            Action::Reopen(worker) => {
                if let Some(view) = self.workers.get_mut(worker) {
                    view.closing = false;
                }
            }
            Action::ReportStatus { complete, .. } => self.complete = Some(*complete),
            Action::RecordWaveStart { wave } => self.wave_starts.push((*wave, self.now)),
            Action::Vacate { worker, by } => self.vacated.push((worker.clone(), *by)),
            Action::Order { .. } | Action::RecordMaintained { .. } => {}
        }
    }

    fn execute(&mut self, order: InstanceOrder, worker: Option<WorkerId>) {
        let (name, pool) = match &order {
            InstanceOrder::Move { instance, pool } => (instance.clone(), Some(pool.clone())),
            InstanceOrder::Maintain { instance, .. } => (instance.clone(), None),
        };
        if let Some(outcome) = self.outcomes.pop_front() {
            self.orders.push(order);
            let pending = self.planner.record_outcome(self.now, &name, outcome);
            // A worker that is open again gets work at once.
            let opened = worker.filter(|_| !pending);
            if let Some(view) = opened.and_then(|w| self.workers.get_mut(&w)) {
                view.closing = false;
                view.runs += 1;
            }
            return;
        }
        if let Some(worker) = worker {
            let view = self.workers.remove(&worker).expect("the worker exists");
            assert_eq!(view.runs, 0, "an order terminated tasks running on {name}");
        }
        let mut instances = self.instances.iter_mut();
        let instance = instances
            .find(|i| i.name == name)
            .expect("the instance is listed");
        assert_eq!(
            instance.state,
            InstanceState::Up,
            "{name} got an order while it was not up"
        );
        instance.state = match &pool {
            Some(_) => InstanceState::Moving,
            None => InstanceState::Maintained,
        };
        if let Some(pool) = pool {
            instance.pool = pool;
        }
        instance.worker = None;
        self.in_transit
            .push((self.now.after(TRANSIT_TIME), name.clone()));
        self.planner
            .record_outcome(self.now, &name, InstanceOutcome::Done);
        self.orders.push(order);
    }

    /// Advances time while a journal batch is in flight that was sent at `since`.
    pub fn run_blocked(&mut self, time: Duration, since: Time) {
        let end = self.now.after(time);
        while self.now < end {
            let age = (self.now.after(TICK)).since(since);
            let cause = Cause::Journal;
            self.blockage = Some(Blockage { cause, age });
            self.run(TICK);
        }
        self.blockage = None;
    }

    /// Advances time, with a plan in each tick.
    pub fn run(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.now = self.now.after(TICK);
            let now = self.now;
            let in_transit = std::mem::take(&mut self.in_transit);
            let (arrived, in_transit): (Vec<_>, Vec<_>) =
                in_transit.into_iter().partition(|(at, _)| *at <= now);
            self.in_transit = in_transit;
            for (_, name) in arrived {
                self.start_worker(&name);
            }
            self.plan();
            let down = |i: &&Instance| i.state == InstanceState::Maintained;
            let down = self.instances.iter().filter(down).count();
            let cap = self.waves.iter().map(|w| w.cap as usize).sum::<usize>();
            assert!(down <= cap, "{down} down for maintenance, {cap} allowed");
        }
    }
}

impl Fleet {
    /// Replaces the planner by one of a new owner, which knows only what was stored.
    pub fn change_owner(&mut self) {
        let times = Timings {
            maintenance: Millis::new(1_500),
        };
        let history = History {
            maintained: Vec::new(),
            wave_starts: self.wave_starts.clone(),
        };
        self.planner = Planner::new(times, history);
    }
}

pub fn planner(maintained: Vec<(u64, InstanceName)>) -> Planner {
    let times = Timings {
        maintenance: Millis::new(1_500),
    };
    let history = History {
        maintained,
        wave_starts: Vec::new(),
    };
    Planner::new(times, history)
}
