//! Tests of poll deltas, which omit rows that were sent before.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_relay::{DeltaDecoder, DeltaEncoder, PollDelta, Row};
use cactuswheel_work::{NodeName, Running, WorkerId, WorkerStatus};

fn run(index: u32, percent: u32) -> Running {
    Running {
        task: format!("00000000000000aa.0.0.{index}")
            .parse()
            .expect("a valid task id"),
        run: 1,
        checkpoint: String::new(),
        percent,
        gauge: 900,
    }
}

fn status(rows: &[(u32, u32)]) -> WorkerStatus {
    WorkerStatus {
        clock: 1,
        born: 7,
        running: rows.iter().map(|(i, p)| run(*i, *p)).collect(),
        ended: Vec::new(),
    }
}

/// Sends poll results through a relay, one after the other. Returns the number of rows that each
/// delta contained in full.
fn full_rows(polls: &[(u64, WorkerStatus)]) -> Vec<usize> {
    let (mut relay, mut owner) = (DeltaEncoder::default(), DeltaDecoder::default());
    let (node, worker) = (NodeName::from("n1"), WorkerId::from("w1"));
    let mut counts = Vec::new();
    for (number, (at, status)) in polls.iter().enumerate() {
        let number = number as u64 + 1;
        let delta = relay.encode(Time::new(*at), &worker, number, status.clone());
        let full = delta.rows.iter().filter(|r| matches!(r, Row::New(_)));
        counts.push(full.count());
        let decoded = owner.decode(&node, &worker, number, delta);
        let decoded = decoded.expect("the base poll was received");
        let tasks = |s: &WorkerStatus| s.running.iter().map(|r| r.task).collect::<Vec<_>>();
        assert_eq!(
            tasks(&decoded),
            tasks(status),
            "the decoded result lists exactly the same tasks"
        );
    }
    counts
}

/// When one of seven runs on a worker ends, the rows of the other six are not sent again.
#[test]
fn same_rows() {
    let all: Vec<(u32, u32)> = (0..7).map(|i| (i, 10)).collect();
    let rest: Vec<(u32, u32)> = (1..7).map(|i| (i, 14)).collect();
    assert_eq!(full_rows(&[(0, status(&all)), (40, status(&rest))]), [7, 0]);
}

/// Guards against a run that makes progress but appears stalled to the owner: rows are sent again
/// after half a second, and at once if a run completes or its progress changes by a large step.
#[test]
fn changed_rows() {
    assert_eq!(
        full_rows(&[(0, status(&[(0, 10)])), (600, status(&[(0, 20)]))]),
        [1, 1]
    );
    assert_eq!(
        full_rows(&[(0, status(&[(0, 98)])), (40, status(&[(0, 100)]))]),
        [1, 1]
    );
    assert_eq!(
        full_rows(&[(0, status(&[(0, 10)])), (40, status(&[(0, 40)]))]),
        [1, 1]
    );
}

/// If a report is lost, the owner must not invent the rows that the next one refers to: it rejects
/// that delta, and accepts the next one that is sent in full.
#[test]
fn lost_report() {
    let (mut relay, mut owner) = (DeltaEncoder::default(), DeltaDecoder::default());
    let (node, worker) = (NodeName::from("n1"), WorkerId::from("w1"));
    let now = Time::new(0);
    let first = relay.encode(now, &worker, 1, status(&[(0, 10)]));
    assert!(owner.decode(&node, &worker, 1, first).is_some());
    let _lost = relay.encode(now, &worker, 2, status(&[(1, 10), (0, 10)]));
    let third = relay.encode(now, &worker, 3, status(&[(1, 10)]));
    assert_eq!(owner.decode(&node, &worker, 3, third), None);
    relay.clear();
    let later = now.after(Duration::from_millis(50));
    let fourth = relay.encode(later, &worker, 4, status(&[(1, 12)]));
    assert!(owner.decode(&node, &worker, 4, fourth).is_some());
}

/// A delta from one relay refers to rows that this relay sent, not to rows from another relay.
#[test]
fn other_relay() {
    let mut owner = DeltaDecoder::default();
    let worker = WorkerId::from("w1");
    let (mut one, mut two) = (DeltaEncoder::default(), DeltaEncoder::default());
    let now = Time::new(0);
    let first = one.encode(now, &worker, 1, status(&[(0, 10)]));
    assert!(owner.decode(&"n1".into(), &worker, 1, first).is_some());
    let _base = two.encode(now, &worker, 1, status(&[(5, 10)]));
    let second = two.encode(now, &worker, 2, status(&[(5, 10)]));
    assert_eq!(owner.decode(&"n2".into(), &worker, 2, second), None);
}

/// Guards against a task that is repeated, and a job that is late, although the worker answers
/// every poll. A delta does not reach the owner, or the worker was removed and listed again in
/// between. If all later deltas refer to a base that the owner does not have, it can decode none of
/// them, and gives the worker's runs up as lost. A delta in which every row is sent in full, or
/// which has no rows, needs no base and has to be decodable.
#[test]
fn lost_base() {
    for (later, rows) in [(600, vec![(0, 12)]), (40, Vec::new())] {
        let (mut relay, mut owner) = (DeltaEncoder::default(), DeltaDecoder::default());
        let (node, worker) = (NodeName::from("n1"), WorkerId::from("w1"));
        relay.encode(Time::new(0), &worker, 1, status(&[(0, 10)]));
        let delta = relay.encode(Time::new(later), &worker, 2, status(&rows));
        let decoded = owner.decode(&node, &worker, 2, delta);
        assert_eq!(decoded.map(|s| s.running.len()), Some(rows.len()));
    }
}

/// Guards against a healthy worker that counts as silent, because its relay sent a report a second
/// time and the copy displaced the base of the next delta.
#[test]
fn copied_report() {
    let (mut relay, mut owner) = (DeltaEncoder::default(), DeltaDecoder::default());
    let (node, worker) = (NodeName::from("n1"), WorkerId::from("w1"));
    let deltas: Vec<PollDelta> = (1..=4u64)
        .map(|n| relay.encode(Time::new(n * 40), &worker, n, status(&[(0, 10)])))
        .collect();
    let mut decode = |number: usize| {
        let delta = deltas[number - 1].clone();
        owner.decode(&node, &worker, number as u64, delta).is_some()
    };
    assert!(decode(1) && decode(2));
    assert!(!decode(2), "the copy is recognised");
    assert!(decode(3), "the next delta still has its base");
    assert!(!decode(1), "so is a late copy of an earlier report");
    assert!(decode(4), "which does not displace the base either");
}
