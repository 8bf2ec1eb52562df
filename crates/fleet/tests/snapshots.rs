//! Snapshots: identical on every node, used only when complete, and the newest one wins.

use std::time::Duration;

use cactuswheel_fleet::{Assembler, Replica, Snapshot, SnapshotPolicy, SnapshotTimer, State};
use cactuswheel_model::{Offset, Record, Time};
use serde_json::json;

const JITTER: Duration = Duration::from_secs(30);

fn pool_ticket(n: u64, id: &str) -> String {
    json!({"ticket": {"ticket": n, "author": "ana", "at": 5,
        "changes": [{"pool": {"id": id}}]}})
    .to_string()
}

/// The state after `count` tickets; for large counts, its snapshot has several parts.
fn state(count: u64) -> State {
    let mut state = State::default();
    for n in 0..count {
        state.apply(state.next(), &pool_ticket(n + 1, &format!("pool-{n}")));
    }
    state
}

fn parts(state: &State) -> Vec<String> {
    Snapshot::of(state).unwrap().parts()
}

fn newest(bodies: &[String]) -> Option<State> {
    let mut assembler = Assembler::default();
    for body in bodies {
        let _ = assembler.add_part(body);
    }
    assembler.into_newest().map(|s| s.state().unwrap())
}

#[test]
fn same_bytes() {
    // One node applies every record; another starts from a snapshot in the middle of the log.
    let mut started = newest(&parts(&state(500))).unwrap();
    for n in 500..900 {
        let body = pool_ticket(n + 1, &format!("pool-{n}"));
        started.apply(started.next(), &body);
    }
    assert_eq!(parts(&started), parts(&state(900)));
}

#[test]
fn two_writers() {
    // Two writers write a snapshot of the same offset, and each loses one part: their parts
    // together are complete.
    let all_parts = parts(&state(3000));
    assert!(all_parts.len() > 2, "{} parts", all_parts.len());
    let (mut one, mut two) = (all_parts.clone(), all_parts);
    one.remove(0);
    two.remove(1);
    assert!(newest(&one).is_none());
    one.extend(two);
    assert_eq!(newest(&one), Some(state(3000)));
}

#[test]
fn late_writer() {
    // A writer is paused in the middle of its snapshot, others write a newer one, and the first
    // resumes and finishes. A reader must still start from the newer one.
    let (old, new) = (parts(&state(2500)), parts(&state(3000)));
    let stream = [&old[..1], &new[..], &old[1..], &old[..]].concat();
    assert_eq!(newest(&stream), Some(state(3000)));
}

#[test]
fn damaged_part() {
    let mut stream = parts(&state(3000));
    stream[1] = stream[1].replacen("pool-", "poll-", 1);
    assert!(newest(&stream).is_none());
    stream.extend(parts(&state(10)));
    assert_eq!(newest(&stream), Some(state(10)));
}

#[test]
fn older_state() {
    let mut replica = Replica::default();
    assert!(replica.install(state(20)));
    assert!(!replica.install(state(10)));
    assert_eq!(**replica.state(), state(20));
}

#[test]
fn gap_refused() {
    let mut replica = Replica::default();
    replica.install(state(10));
    let gap = replica.apply(Offset::new(11), &[pool_ticket(99, "x")]);
    assert_eq!(gap.unwrap_err().next, Offset::new(10));
    assert_eq!(**replica.state(), state(10));
    replica.note_head(Offset::new(12));
    assert!(!replica.is_current());
}

#[test]
fn overlapping_records() {
    let bodies: Vec<_> = (0..6)
        .map(|n| pool_ticket(n + 1, &format!("pool-{n}")))
        .collect();
    let mut replica = Replica::default();
    replica.apply(Offset::new(0), &bodies[..4]).unwrap();
    let progress = replica.apply(Offset::new(2), &bodies[2..]).unwrap();
    assert_eq!(progress.applied, 2);
    assert_eq!(**replica.state(), state(6));
    let tail = replica.recent().read(Offset::new(3), 9, 1 << 20).unwrap();
    assert_eq!(tail.len(), 3);
    assert!(replica.recent().read(Offset::new(3), 9, 10).is_none());
}

#[test]
fn late_mark() {
    let mut state = state(3);
    let mark = |s: &State| {
        let mark = Snapshot::of(s).unwrap().mark();
        serde_json::to_string(&Record::Snapshot(mark)).unwrap()
    };
    let (old, new) = (mark(&State::default()), mark(&state));
    state.apply(state.next(), &new);
    state.apply(state.next(), &old);
    assert_eq!(state.snapshot().unwrap().head, Offset::new(3));
}

#[test]
fn many_records() {
    let policy = SnapshotPolicy {
        records: 5,
        ..SnapshotPolicy::default()
    };
    let mut timer = SnapshotTimer::new(policy, Time::new(0));
    let first = Offset::default();
    let at = |secs: u64| Time::new(secs * 1000);
    assert!(!timer.step(at(1), &state(4), first, JITTER));
    assert!(!timer.step(at(2), &state(5), first, JITTER));
    assert!(!timer.step(at(31), &state(5), first, Duration::ZERO));
    assert!(timer.step(at(32), &state(5), first, JITTER));
    assert!(
        !timer.step(at(33), &state(5), first, JITTER),
        "a node makes one attempt at a time"
    );
    // Another node's mark arrives: no snapshot is due any more.
    let mut marked = state(5);
    let mark = Record::Snapshot(Snapshot::of(&marked).unwrap().mark());
    marked.apply(marked.next(), &serde_json::to_string(&mark).unwrap());
    assert!(!timer.step(at(90), &marked, first, Duration::ZERO));
    assert!(!timer.step(at(91), &marked, first, Duration::ZERO));
}

#[test]
fn short_retention() {
    let mut timer = SnapshotTimer::new(SnapshotPolicy::default(), Time::new(0));
    let first = Offset::new(8);
    assert!(!timer.step(Time::new(1000), &state(10), first, JITTER));
    assert!(timer.step(Time::new(4000), &state(10), first, JITTER));
}

#[test]
fn old_snapshot() {
    let mut timer = SnapshotTimer::new(SnapshotPolicy::default(), Time::new(0));
    let first = Offset::default();
    let hour = 3_600_000;
    assert!(!timer.step(Time::new(3 * hour), &state(1), first, JITTER));
    assert!(!timer.step(Time::new(5 * hour), &state(1), first, JITTER));
    assert!(timer.step(Time::new(6 * hour), &state(1), first, JITTER));
}
