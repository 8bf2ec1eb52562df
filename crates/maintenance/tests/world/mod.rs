//! Drivers on several nodes against one fake log and fake workers, in made-up time.

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

/// Time of one step.
pub const TICK: Duration = Duration::from_millis(500);

/// Steps of the past that lagging views reach back to.
const PAST: usize = 16;

/// Pools, their instances and budgets.
pub const POOLS: [(&str, usize, u32); 2] = [("render", 8, 2), ("check", 4, 1)];

/// Everything outside the drivers, and the drivers.
pub struct World {
    pub now: Time,
    pub log: Vec<String>,
    /// The fold at the head of the log.
    pub truth: State,
    pub workers: Workers,
    /// The workers as they were, newest last.
    past: VecDeque<Workers>,
    pub nodes: Vec<Node>,
    /// The platform answers nothing until then.
    pub dark: Time,
    /// Actions of paused nodes, with the time when they wake.
    late: Vec<(Time, Action)>,
}

/// Times short enough for many histories.
pub fn settings() -> Settings {
    let secs = Duration::from_secs;
    Settings {
        loss: secs(3),
        settle: secs(1),
        quiet: secs(1),
        drain: secs(10),
        postpone: secs(10),
        overdue: secs(20),
        fresh: secs(4),
        retry: secs(2),
        stagger: secs(1),
        ..Settings::default()
    }
}

impl World {
    /// `nodes` entries; wave 1 begins.
    pub fn new(nodes: usize) -> Self {
        let mut world = Self {
            now: Time::new(0),
            log: Vec::new(),
            truth: State::default(),
            workers: Workers::default(),
            past: VecDeque::new(),
            nodes: (0..nodes).map(Node::new).collect(),
            dark: Time::default(),
            late: Vec::new(),
        };
        world.append(json!({"ticket": {"ticket": 1, "changes": first_changes()}}).to_string());
        world.append(json!({"wave": {"number": 1}}).to_string());
        for instance in world.truth.config().instances.values() {
            world.workers.add(&instance.id);
        }
        world
    }

    /// Appends a record; the fold takes it in at once.
    pub fn append(&mut self, body: String) {
        self.truth.apply(self.truth.next(), &body);
        self.log.push(body);
    }

    /// One step of every node that is awake.
    pub fn tick(&mut self) {
        self.now = self.now.after(TICK);
        self.workers.advance(self.now);
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.late = later;
        self.past.push_back(self.workers.clone());
        if self.past.len() > PAST {
            self.past.pop_front();
        }
        due.into_iter().for_each(|(_, action)| self.act(action));
        for n in 0..self.nodes.len() {
            if self.nodes[n].asleep > self.now {
                continue;
            }
            let dark = self.dark > self.now;
            let lag = self.nodes[n].lag.min(self.past.len() - 1);
            let seen = &self.past[self.past.len() - 1 - lag];
            let actions = self.nodes[n].step(self.now, dark, &self.log, seen, n as u32);
            for action in actions {
                self.hand_over(n, action);
            }
        }
        self.check();
    }

    /// Lets an action take effect now, later, or both.
    fn hand_over(&mut self, n: usize, action: Action) {
        let node = &mut self.nodes[n];
        if node.pause > Duration::ZERO {
            // The node stops after it decided and before it acts.
            node.asleep = self.now.after(node.pause);
            self.late.push((node.asleep, action));
            return;
        }
        if node.echo > Duration::ZERO {
            // The answer is lost; a repeat takes effect later.
            self.late.push((self.now.after(node.echo), action.clone()));
        }
        self.act(action);
    }

    fn act(&mut self, action: Action) {
        if self.dark > self.now {
            return;
        }
        match action {
            Action::Propose(step) => self.propose(step),
            Action::Start(wave) => self.append(json!({"wave": wave}).to_string()),
            Action::Order(order) => self.workers.obey(self.now, &order),
        }
    }

    fn propose(&mut self, step: Disruption) {
        let id = step.instance().clone();
        let before = self.rebooting_hold(&id);
        let record = Record::Disruption(step);
        self.append(serde_json::to_string(&record).unwrap());
        if !before && self.rebooting_hold(&id) {
            self.check_commit(&id);
        }
    }

    fn rebooting_hold(&self, id: &InstanceId) -> bool {
        let hold = self.truth.disruptions().outage(id);
        hold.is_some_and(|h| matches!(h.stage, Stage::Rebooting(_)))
    }

    /// A reboot starts only within the budget, granted and lost instances counted together.
    /// One that arrives from another pool never served this one and does not count.
    fn check_commit(&self, id: &InstanceId) {
        let pool = self.pool(id);
        let (_, _, max) = POOLS.iter().find(|(name, ..)| *name == pool).unwrap();
        let holds = self.truth.disruptions().outages();
        let counted = holds.filter(|h| h.uses_budget());
        let down = counted.filter(|h| self.pool(&h.instance) == pool).count();
        assert!(
            down <= *max as usize,
            "{id} starts with {down} of {pool} down"
        );
    }

    /// A node in a slot is replaced by an empty one.
    pub fn replace(&mut self, n: usize) {
        self.nodes[n] = Node::new(n);
    }

    /// Every instance that a reboot has taken down occupies its budget, and no pool has more
    /// of them than its budget.
    fn check(&self) {
        for (pool, _, max) in POOLS {
            let holds = self.truth.disruptions().outages();
            let granted = holds
                .filter(|h| h.uses_budget() && h.stage != Stage::Lost)
                .filter(|h| self.pool(&h.instance) == pool)
                .count();
            assert!(granted <= max as usize, "{granted} of {pool} granted");
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
                let stage = self.truth.disruptions().outage(id).map(|h| &h.stage);
                assert!(
                    matches!(stage, Some(Stage::Rebooting(_))),
                    "{id} at {} is down on a grant that is over: {stage:?}",
                    self.now
                );
            }
        }
    }

    /// The pool of an instance.
    pub fn pool(&self, id: &InstanceId) -> &str {
        let found = self.truth.config().instances.get(id);
        found.map_or("", |i| i.pool.as_str())
    }

    /// Whether every instance had its turn and nothing is left held or drained.
    pub fn is_done(&self) -> bool {
        let disruptions = self.truth.disruptions();
        let mut instances = self.truth.config().instances.values();
        instances.all(|i| disruptions.last_wave(&i.id).is_some())
            && disruptions.outages().next().is_none()
            && self.workers.all_serve()
    }
}

/// Name of the entry in a slot.
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
