//! Tests the simulation itself: it is deterministic, and each fault has its effect.

use std::time::Duration;

use cactuswheel_model::{Offset, Time};
use cactuswheel_testkit::{Chaos, FakeLog, FakeLogError, LogFaults, Node, Outbox, World, check};

/// Appends its index at each step and sends the head of the log to the other node.
#[derive(Debug, Default)]
struct Counter {
    me: usize,
    steps: usize,
    received: Vec<u64>,
}

impl Node for Counter {
    type Platform = FakeLog<usize>;
    type Message = u64;

    fn step(&mut self, _: Time, log: Option<&mut FakeLog<usize>>, outbox: &mut Outbox<u64>) {
        self.steps += 1;
        if let Some(log) = log {
            let _ = log.append(&[self.me]);
            outbox.send(1 - self.me, log.head().get());
        }
    }

    fn receive(&mut self, _: Time, _: usize, message: u64, _: &mut Outbox<u64>) {
        self.received.push(message);
    }
}

fn world(seed: u64) -> World<Counter> {
    World::new(seed, &[0, 1], FakeLog::new(seed), |me| Counter {
        me,
        ..Counter::default()
    })
}

fn history(seed: u64) -> (Offset, Vec<Vec<u64>>) {
    let mut world = world(seed);
    world.chaos = Chaos::MIXED;
    world.run(Duration::from_secs(60));
    let received = world.nodes.into_iter().map(|n| n.received).collect();
    (world.platform.head(), received)
}

fn repeats(seed: u64) -> bool {
    history(seed) == history(seed)
}

#[test]
fn same_history() {
    check(1, 20, repeats as fn(u64) -> bool);
}

#[test]
fn paused_node() {
    let mut world = world(7);
    world.pause(0, Duration::from_secs(30));
    world.run(Duration::from_secs(20));
    assert_eq!(world.nodes[0].steps, 0);
    world.run(Duration::from_secs(20));
    assert!(
        world.nodes[0].received.len() > 30,
        "messages sent during the pause were not delivered"
    );
}

#[test]
fn cut_platform() {
    let mut world = world(7);
    world.cut_platform(1, Duration::from_secs(600));
    world.run(Duration::from_secs(20));
    let batch = world.platform.read(Offset::default(), 1000).unwrap();
    assert!(batch.records.iter().all(|who| *who == 0));
}

#[test]
fn lost_answers() {
    let mut log = FakeLog::new(3);
    log.faults = LogFaults {
        lost_replies: 100,
        ..LogFaults::default()
    };
    assert_eq!(log.append(&[1]), Err(FakeLogError::Unknown));
    assert_eq!(log.head(), Offset::new(1));
    log.trim(0);
    let read = log.read(Offset::default(), 9);
    assert_eq!(read.unwrap_err(), FakeLogError::Trimmed(Offset::new(1)));
}
