//! Simulation of several nodes, one platform and a clock.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuswheel_model::Time;

use crate::{Chaos, Node, Outbox, Rng};

/// Maximum latency of a message. Each message gets a random latency, so messages may be reordered.
const MAX_LATENCY: Duration = Duration::from_millis(300);

/// Maximum simulated time between two steps.
const MAX_STEP: Duration = Duration::from_millis(500);

/// Simulates nodes. The order of their steps and the faults are drawn from a seed.
pub struct World<N: Node> {
    /// The nodes; other methods refer to them by index.
    pub nodes: Vec<N>,
    /// The platform that the nodes share; nodes in a data centre that is cut off cannot reach it.
    pub platform: N::Platform,
    /// Probabilities of random faults.
    pub chaos: Chaos,
    /// The random number generator of the simulation; the test may draw from it too.
    pub rng: Rng,
    now: Time,
    /// The data centre of each node.
    dcs: Vec<usize>,
    /// When the pause of each node ends.
    paused_until: Vec<Time>,
    /// When the cut between a data centre and the platform ends.
    platform_cuts: BTreeMap<usize, Time>,
    /// When the cut between two data centres ends; the key has the smaller number first.
    cuts: BTreeMap<(usize, usize), Time>,
    /// Messages in flight.
    envelopes: Vec<Envelope<N::Message>>,
    /// Creates a node without state, by index.
    new_node: Box<dyn FnMut(usize) -> N>,
}

/// A message in flight.
struct Envelope<M> {
    due: Time,
    from: usize,
    to: usize,
    message: M,
}

impl<N: Node> World<N> {
    /// Creates one node with `new_node` for each entry of `dcs`, which is the node's data centre.
    pub fn new(
        seed: u64,
        dcs: &[usize],
        platform: N::Platform,
        mut new_node: impl FnMut(usize) -> N + 'static,
    ) -> Self {
        Self {
            nodes: (0..dcs.len()).map(&mut new_node).collect(),
            platform,
            chaos: Chaos::NONE,
            rng: Rng::new(seed),
            now: Time::new(1),
            dcs: dcs.to_vec(),
            paused_until: vec![Time::default(); dcs.len()],
            platform_cuts: BTreeMap::new(),
            cuts: BTreeMap::new(),
            envelopes: Vec::new(),
            new_node: Box::new(new_node),
        }
    }

    /// The current simulated time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Pauses a node for `time`, like a frozen process: messages to it wait until it resumes.
    pub fn pause(&mut self, node: usize, time: Duration) {
        self.paused_until[node] = self.now.after(time);
    }

    /// Replaces a node by a new one without state; messages in flight to it are lost.
    pub fn replace(&mut self, node: usize) {
        self.nodes[node] = (self.new_node)(node);
        self.paused_until[node] = Time::default();
        self.envelopes.retain(|e| e.to != node);
    }

    /// Cuts a data centre off from the platform for `time`.
    pub fn cut_platform(&mut self, dc: usize, time: Duration) {
        self.platform_cuts.insert(dc, self.now.after(time));
    }

    /// Cuts two data centres off from each other for `time`.
    pub fn cut(&mut self, a: usize, b: usize, time: Duration) {
        self.cuts.insert((a.min(b), a.max(b)), self.now.after(time));
    }

    /// Ends all pauses and cuts, and injects no more random faults.
    pub fn heal(&mut self) {
        self.chaos = Chaos::NONE;
        self.paused_until.fill(Time::default());
        self.platform_cuts.clear();
        self.cuts.clear();
    }

    /// Performs steps until `time` of the simulation has passed.
    pub fn run(&mut self, time: Duration) {
        let until = self.now.after(time);
        while self.now < until {
            self.step();
        }
    }

    /// Injects random faults, advances the clock, then steps every node that is not paused.
    pub fn step(&mut self) {
        self.draw_faults();
        let millis = 1 + self.rng.below(MAX_STEP.as_millis() as u64);
        self.now = self.now.after(Duration::from_millis(millis));
        let count = self.nodes.len();
        let start = self.rng.below(count as u64) as usize;
        for n in (0..count).map(|i| (start + i) % count) {
            if self.paused_until[n] <= self.now {
                self.step_node(n);
            }
        }
    }

    fn step_node(&mut self, n: usize) {
        let mut outbox = Outbox::default();
        // Messages arrive by due time, then in the order of sending: the sort is stable.
        let now = self.now;
        let (mut due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.envelopes)
            .into_iter()
            .partition(|e| e.to == n && e.due <= now);
        self.envelopes = rest;
        due.sort_by_key(|e| e.due);
        for envelope in due {
            self.nodes[n].receive(now, envelope.from, envelope.message, &mut outbox);
        }
        let cut = self.platform_cuts.get(&self.dcs[n]);
        let platform = match cut.is_some_and(|until| *until > now) {
            true => None,
            false => Some(&mut self.platform),
        };
        self.nodes[n].step(now, platform, &mut outbox);
        self.deliver(n, outbox);
    }

    fn deliver(&mut self, from: usize, outbox: Outbox<N::Message>) {
        for (to, message) in outbox.sent {
            if self.is_cut(from, to) || self.rng.chance(self.chaos.loss) {
                continue;
            }
            let copies = 1 + usize::from(self.rng.chance(self.chaos.duplicate));
            for _ in 0..copies {
                let millis = self.rng.below(MAX_LATENCY.as_millis() as u64);
                self.envelopes.push(Envelope {
                    due: self.now.after(Duration::from_millis(millis)),
                    from,
                    to,
                    message: message.clone(),
                });
            }
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (a, b) = (self.dcs[from], self.dcs[to]);
        let until = self.cuts.get(&(a.min(b), a.max(b)));
        until.is_some_and(|until| *until > self.now)
    }

    fn draw_faults(&mut self) {
        let chaos = self.chaos;
        let node = self.rng.below(self.nodes.len() as u64) as usize;
        let (a, b) = (*self.rng.pick(&self.dcs), *self.rng.pick(&self.dcs));
        let millis = self.rng.below(chaos.max_duration.as_millis() as u64);
        let time = Duration::from_millis(millis);
        if self.rng.chance(chaos.pause) {
            self.pause(node, time);
        }
        if self.rng.chance(chaos.replace) {
            self.replace(node);
        }
        if self.rng.chance(chaos.platform_cut) {
            self.cut_platform(a, time);
        }
        if a != b && self.rng.chance(chaos.cut) {
            self.cut(a, b, time);
        }
    }
}
