//! Accepted changes come into force on every entry and are never reverted, and each instance is in
//! exactly one pool.

mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::time::Duration;

use cactuswheel_fleet::{Applied, State};
use cactuswheel_model::{Change, Code, Disruption, ObjectId, Offset, Purpose, Record, TicketNo};
use cactuswheel_testkit::{Chaos, Seed, World, check};

use support::{Answer, Entry, FakePlatform, act, first_ticket};

/// Data centre of each entry.
const DCS: [usize; 5] = [0, 0, 1, 1, 2];

/// Time after the end of all faults within which every entry must have the newest state.
const CONVERGENCE_TIME: Duration = Duration::from_secs(12);

/// Number of histories in which at least one entry still had the state after the faults.
static SURVIVED: AtomicU32 = AtomicU32::new(0);

fn world(seed: u64) -> (World<Entry>, Rc<RefCell<Vec<Answer>>>) {
    let answers = Rc::new(RefCell::new(Vec::new()));
    let shared = answers.clone();
    let mut lives = 0;
    let fresh = move |me| {
        lives += 1;
        Entry::new(me, lives, DCS.len(), shared.clone())
    };
    let mut world = World::new(seed, &DCS, FakePlatform::new(seed), fresh);
    let now = world.now();
    world.nodes[0].submit(now, first_ticket());
    world.run(Duration::from_secs(10));
    (world, answers)
}

/// Checks what must hold after every step, whatever faults occur: no entry's offset decreases, its
/// state is the fold of the log, and it serves only with a complete state.
fn assert_step(world: &World<Entry>, before: &[(u64, Offset, bool)], seed: u64) {
    for (n, entry) in world.nodes.iter().enumerate() {
        let (next, ready) = match before[n] {
            (life, next, ready) if life == entry.life => (next, ready),
            _ => Default::default(),
        };
        assert!(
            entry.next() >= next,
            "seed {seed}: the offset of node {n} decreased"
        );
        if next != entry.next() {
            let fold = &world.platform.states[entry.next().get() as usize];
            assert!(
                **entry.replica.state() == *fold,
                "seed {seed}: the state of node {n} is not the fold of the log"
            );
        }
        if entry.ready && !ready {
            // The first ticket came into force before the faults began.
            let some = entry.next() > Offset::default();
            assert!(some, "seed {seed}: node {n} serves without any state");
            assert_eq!(
                entry.missed, 0,
                "seed {seed}: node {n} serves before it is current"
            );
        }
    }
}

fn step(world: &mut World<Entry>, seed: u64) {
    let nodes = world.nodes.iter();
    let before: Vec<_> = nodes.map(|e| (e.life, e.next(), e.ready)).collect();
    world.step();
    assert_step(world, &before, seed);
}

fn in_force(Seed(seed): Seed) -> bool {
    let (mut world, answers) = world(seed);
    world.chaos = Chaos::MIXED;
    let mut newest = 1;
    for _ in 0..400 {
        act(&mut world, &mut newest);
        step(&mut world, seed);
    }
    world.heal();
    world.platform.set_down(false);
    let start = world.now();
    while world.now().since(start) < CONVERGENCE_TIME {
        step(&mut world, seed);
    }
    assert_end(&world, &answers.borrow(), seed);
    true
}

/// After the faults: if any entry has a usable state, all entries have the newest one, and every
/// ticket reported as successful is in force.
fn assert_end(world: &World<Entry>, answers: &[Answer], seed: u64) {
    let platform = &world.platform;
    let last = platform.states.last().unwrap();
    // If the log has trimmed records that no entry and no snapshot includes, no entry can
    // continue.
    let nodes = world.nodes.iter().filter(|e| e.ready);
    if nodes.map(Entry::next).max() >= Some(platform.fleet.first()) {
        SURVIVED.fetch_add(1, Relaxed);
        for (n, entry) in world.nodes.iter().enumerate() {
            assert!(entry.ready, "seed {seed}: node {n} does not serve");
            // Marks of snapshots are still being appended.
            let behind = last.next().get() - entry.next().get();
            assert!(behind <= 3, "seed {seed}: node {n} is {behind} behind");
        }
    }
    for s in answers.iter().filter(|s| s.code == Code::Ok) {
        let outcome = last.ledger().outcome(s.ticket);
        let kept = outcome.is_some_and(|o| o.code == Code::Ok && o.digest == s.digest);
        assert!(
            kept,
            "seed {seed}: ticket {} was reported as successful but is not in force",
            s.ticket
        );
    }
}

#[test]
fn in_force_everywhere() {
    check(10, 60, in_force as fn(Seed) -> bool);
    let survived = SURVIVED.load(Relaxed);
    assert!(
        survived > 40,
        "only {survived} of 60 histories kept a usable state"
    );
}

/// The pool of each instance, computed from the records independently of the fold.
#[derive(Default)]
struct Model {
    pools: BTreeMap<String, String>,
    moves: BTreeMap<Offset, String>,
    /// The ticket that last changed an object.
    newest: BTreeMap<ObjectId, TicketNo>,
}

impl Model {
    fn take(&mut self, offset: Offset, body: &str, applied: &Applied) {
        let Ok(record) = serde_json::from_str(body) else {
            return;
        };
        match (record, applied) {
            // A retry gets the offset of the first ticket and must change nothing.
            (Record::Ticket(ticket), Applied::Ticket(outcome))
                if outcome.code == Code::Ok && outcome.offset == offset =>
            {
                for change in &ticket.changes {
                    let before = self.newest.insert(change.object(), ticket.ticket);
                    assert!(before < Some(ticket.ticket), "{offset} reverts {before:?}");
                    self.change(change);
                }
            }
            (Record::Disruption(step), Applied::Disruption(Ok(fence))) => {
                self.step(offset, &step, *fence);
            }
            _ => {}
        }
    }

    fn change(&mut self, change: &Change) {
        match change {
            Change::Instance(i) => {
                self.pools.insert(i.id.to_string(), i.pool.to_string());
            }
            Change::Remove(ObjectId::Instance(id)) => {
                self.pools.remove(id.as_str());
            }
            _ => {}
        }
    }

    fn step(&mut self, offset: Offset, step: &Disruption, fence: Offset) {
        match step {
            Disruption::Take {
                purpose: Purpose::Move { to, .. },
                ..
            } if fence == offset => {
                self.moves.insert(fence, to.to_string());
            }
            Disruption::Commit { instance, fence } => {
                if let Some(to) = self.moves.remove(fence) {
                    self.pools.insert(instance.to_string(), to);
                }
            }
            _ => {}
        }
    }
}

fn one_pool(Seed(seed): Seed) -> bool {
    let (mut world, _) = world(seed);
    world.chaos = Chaos::MIXED;
    let mut newest = 1;
    for _ in 0..400 {
        act(&mut world, &mut newest);
        world.step();
    }
    let mut state = State::default();
    let mut model = Model::default();
    for body in &world.platform.archive {
        let offset = state.next();
        let applied = state.apply(offset, body);
        model.take(offset, body, &applied);
        let config = state.config();
        let pools = config.instances.values();
        let pools: BTreeMap<_, _> = pools
            .map(|i| (i.id.to_string(), i.pool.to_string()))
            .collect();
        assert_eq!(pools, model.pools, "seed {seed}: offset {offset}");
        let members: usize = config.pools.values().map(|p| config.pool_size(&p.id)).sum();
        assert_eq!(
            members,
            config.instances.len(),
            "seed {seed}: offset {offset}"
        );
    }
    true
}

#[test]
fn one_pool_each() {
    check(2, 60, one_pool as fn(Seed) -> bool);
}
