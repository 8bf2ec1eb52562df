//! Simulation of drivers on several nodes, with one fake log, fake workers and simulated time.

mod node;
mod workers;

use std::collections::VecDeque;
use std::time::Duration;

use cactuswheel_fleet::{Stage, State};
use cactuswheel_maintenance::{Action, Settings};
use cactuswheel_model::{Disruption, EntryId, InstanceId, Record, Time};
use serde_json::{Value, json};

pub use node::Node;
pub use workers::Workers;

/// Simulated time per tick.
pub const TICK: Duration = Duration::from_millis(500);

/// Number of past ticks kept for nodes with outdated worker data.
const HISTORY_TICKS: usize = 16;

/// Each pool with its number of instances and its budget.
pub const POOLS: [(&str, usize, u32); 2] = [("render", 8, 2), ("check", 4, 1)];

/// The log, the workers, the nodes with their drivers, and the injected faults.
pub struct World {
    pub now: Time,
    pub log: Vec<String>,
    /// Replicated state with all records of the log applied.
    pub state: State,
    pub workers: Workers,
    /// The workers at past ticks, newest last.
    history: VecDeque<Workers>,
    pub nodes: Vec<Node>,
    /// The platform is unavailable until this time.
    pub platform_down: Time,
    /// Actions that take effect later, with the time when they do.
    delayed: Vec<(Time, Action)>,
}

/// Settings with timeouts short enough to simulate many fault histories.
pub fn settings() -> Settings {
    let secs = Duration::from_secs;
    Settings {
        loss_timeout: secs(3),
        settle_time: secs(1),
        idle_time: secs(1),
        drain_timeout: secs(10),
        postpone_time: secs(10),
        overdue_timeout: secs(20),
        max_staleness: secs(4),
        retry_interval: secs(2),
        stagger: secs(1),
        ..Settings::default()
    }
}

impl World {
    /// Creates a world with this number of entries, in which wave 1 has started.
    pub fn new(nodes: usize) -> Self {
        let mut world = Self {
            now: Time::new(0),
            log: Vec::new(),
            state: State::default(),
            workers: Workers::default(),
            history: VecDeque::new(),
            nodes: (0..nodes).map(Node::new).collect(),
            platform_down: Time::default(),
            delayed: Vec::new(),
        };
        world.append(json!({"ticket": {"ticket": 1, "changes": first_changes()}}).to_string());
        world.append(json!({"wave": {"number": 1}}).to_string());
        for instance in world.state.config().instances.values() {
            world.workers.add(&instance.id);
        }
        world
    }

    /// Appends a record and applies it to the state at once.
    pub fn append(&mut self, body: String) {
        self.state.apply(self.state.next(), &body);
        self.log.push(body);
    }

    /// Advances time by one tick and runs one step of every node that is not paused.
    pub fn tick(&mut self) {
        self.now = self.now.after(TICK);
        self.workers.advance(self.now);
        let (due, later) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.delayed = later;
        self.history.push_back(self.workers.clone());
        if self.history.len() > HISTORY_TICKS {
            self.history.pop_front();
        }
        due.into_iter().for_each(|(_, action)| self.apply(action));
        for n in 0..self.nodes.len() {
            if self.nodes[n].paused_until > self.now {
                continue;
            }
            let platform_down = self.platform_down > self.now;
            let status_lag = self.nodes[n].status_lag.min(self.history.len() - 1);
            let seen = &self.history[self.history.len() - 1 - status_lag];
            let actions = self.nodes[n].step(self.now, platform_down, &self.log, seen, n as u32);
            for action in actions {
                self.dispatch(n, action);
            }
        }
        self.check();
    }

    /// Applies an action now, later, or both, depending on the faults of the node.
    fn dispatch(&mut self, n: usize, action: Action) {
        let node = &mut self.nodes[n];
        if node.pause > Duration::ZERO {
            // The node is paused between its decision and the effect of the action.
            node.paused_until = self.now.after(node.pause);
            self.delayed.push((node.paused_until, action));
            return;
        }
        if node.repeat_delay > Duration::ZERO {
            // The answer is lost, and a retry takes effect later.
            self.delayed
                .push((self.now.after(node.repeat_delay), action.clone()));
        }
        self.apply(action);
    }

    fn apply(&mut self, action: Action) {
        if self.platform_down > self.now {
            return;
        }
        match action {
            Action::Propose(step) => self.propose(step),
            Action::StartWave(wave) => self.append(json!({"wave": wave}).to_string()),
            Action::Order(order) => self.workers.apply_order(self.now, &order),
        }
    }

    fn propose(&mut self, step: Disruption) {
        let id = step.instance().clone();
        let before = self.is_rebooting(&id);
        let record = Record::Disruption(step);
        self.append(serde_json::to_string(&record).unwrap());
        if !before && self.is_rebooting(&id) {
            self.check_commit(&id);
        }
    }

    fn is_rebooting(&self, id: &InstanceId) -> bool {
        let current = self.state.disruptions().outage(id);
        current.is_some_and(|o| matches!(o.stage, Stage::Rebooting(_)))
    }

    /// Asserts that a reboot is committed only within the budget of the pool, with granted and
    /// lost instances counted together. An instance that arrives from another pool has not served
    /// this pool yet and does not count.
    fn check_commit(&self, id: &InstanceId) {
        let pool = self.pool(id);
        let (_, _, max) = POOLS.iter().find(|(name, ..)| *name == pool).unwrap();
        let active = self.state.disruptions().outages();
        let counted = active.filter(|o| o.uses_budget());
        let down = counted.filter(|o| self.pool(&o.instance) == pool).count();
        assert!(
            down <= *max as usize,
            "reboot of {id} committed with {down} instances of {pool} down"
        );
    }

    /// Replaces a node by a new one without any state.
    pub fn replace(&mut self, n: usize) {
        self.nodes[n] = Node::new(n);
    }

    /// Asserts that every instance that is down for a reboot has a committed outage, and that no
    /// pool has more granted or rebooting instances than its budget allows.
    fn check(&self) {
        for (pool, _, max) in POOLS {
            let active = self.state.disruptions().outages();
            let granted = active
                .filter(|o| o.uses_budget() && o.stage != Stage::Lost)
                .filter(|o| self.pool(&o.instance) == pool)
                .count();
            assert!(
                granted <= max as usize,
                "{granted} outages granted in {pool}, budget {max}"
            );
            let rebooting: Vec<_> = self
                .workers
                .rebooting()
                .filter(|id| self.pool(id) == pool)
                .collect();
            assert!(
                rebooting.len() <= max as usize,
                "{pool} at {}: {rebooting:?} rebooting, budget {max}",
                self.now
            );
            for id in rebooting {
                let stage = self.state.disruptions().outage(id).map(|o| &o.stage);
                assert!(
                    matches!(stage, Some(Stage::Rebooting(_))),
                    "{id} at {} is down without a committed outage: {stage:?}",
                    self.now
                );
            }
        }
    }

    /// The pool of an instance; empty if the instance is unknown.
    pub fn pool(&self, id: &InstanceId) -> &str {
        let found = self.state.config().instances.get(id);
        found.map_or("", |i| i.pool.as_str())
    }

    /// Whether every instance has been processed by the wave, and none has an outage, is down or is
    /// drained.
    pub fn is_done(&self) -> bool {
        let disruptions = self.state.disruptions();
        let mut instances = self.state.config().instances.values();
        instances.all(|i| disruptions.last_wave(&i.id).is_some())
            && disruptions.outages().next().is_none()
            && self.workers.all_serve()
    }
}

/// Name of the entry with this index.
pub fn entry(n: usize) -> EntryId {
    format!("e{n}").parse().unwrap()
}

fn first_changes() -> Vec<Value> {
    let mut changes = vec![json!({"dc": {"id": "lj1", "region": "lj"}})];
    let mut number = 0;
    for (pool, size, max) in POOLS {
        changes.push(json!({"pool": {"id": pool}}));
        changes.push(json!({"service": {"id": pool, "pool": pool, "max_down": max}}));
        for _ in 0..size {
            changes.push(
                json!({"instance": {"id": format!("w{number}"), "pool": pool,
                "dc": "lj1", "rack": format!("r{}", number % 4), "cores": 64,
                "memory": 131072, "slots": 8, "conns": 64}}),
            );
            number += 1;
        }
    }
    changes
}
