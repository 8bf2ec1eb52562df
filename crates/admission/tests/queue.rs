//! Tests of the order in which waiting requests start.

use std::time::Duration;

use cactuswheel_admission::{Concurrency, Queue, QueueRequest};
use cactuswheel_model::{Code, Map, Share, TeamId, Time};
use cactuswheel_testkit::check;

const UNLIMITED: Concurrency = Concurrency {
    slots: 1_000,
    units: 1_000,
};

fn team(name: &str) -> TeamId {
    name.parse().unwrap()
}

fn request(name: &str, share: u32) -> QueueRequest {
    QueueRequest {
        team: team(name),
        share: Share::new(share),
        urgent: false,
        deadline: Time::new(1_000_000),
    }
}

fn push(queue: &mut Queue<u32>, request: QueueRequest, value: u32) -> u64 {
    queue.push(Time::new(0), request, UNLIMITED, value).unwrap()
}

fn pop(queue: &mut Queue<u32>) -> Option<(TeamId, u32)> {
    queue.begin_round(Time::new(0));
    queue.pop(|_| true)
}

/// Serves `total` requests and returns the slot time of each team; team `i` has `shares[i]` and
/// runs of `millis[i]`.
fn serve(shares: &[u32], millis: &[u64], total: usize) -> Map<TeamId, u64> {
    let mut queue = Queue::default();
    let names: Vec<_> = (0..shares.len()).map(|i| format!("t{i}")).collect();
    let mut got: Map<TeamId, u64> = Map::default();
    for (name, share) in names.iter().zip(shares) {
        for n in 0..20 {
            push(&mut queue, request(name, *share), n);
        }
    }
    for _ in 0..total {
        let (team, _) = pop(&mut queue).unwrap();
        let at = names.iter().position(|n| *n == team.as_str()).unwrap();
        let (share, took) = (shares[at], Duration::from_millis(millis[at]));
        let charged = queue.charge_start(&team, Share::new(share));
        queue.settle_charge(&team, charged, took);
        push(&mut queue, request(&names[at], share), 0);
        *got.entry(team).or_default() += millis[at];
    }
    got
}

#[test]
fn weighted_shares() {
    // For any weights and run times, each team's slot time is proportional to its weight.
    let property = |seeds: Vec<(u8, u8)>| {
        let seeds = &seeds[..seeds.len().min(12)];
        let shares: Vec<_> = seeds.iter().map(|(s, _)| 1 + u32::from(s % 8)).collect();
        let millis: Vec<_> = seeds.iter().map(|(_, m)| 5 + u64::from(m % 90)).collect();
        if shares.is_empty() {
            return true;
        }
        let got = serve(&shares, &millis, 1_500);
        let per = |i: usize| got[&team(&format!("t{i}"))] as f64 / f64::from(shares[i]);
        let all: Vec<_> = (0..shares.len()).map(per).collect();
        let (least, most) = (
            all.iter().copied().fold(f64::MAX, f64::min),
            all.iter().copied().fold(0.0, f64::max),
        );
        // Tolerates one run of maximum length either way, and the order of the first runs.
        most - least <= 300.0
    };
    check(51, 60, property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn urgent_first() {
    let mut queue = Queue::default();
    push(&mut queue, request("a", 9), 1);
    push(&mut queue, request("a", 9), 2);
    let urgent = QueueRequest {
        urgent: true,
        ..request("b", 1)
    };
    push(&mut queue, urgent, 3);
    assert_eq!(pop(&mut queue), Some((team("b"), 3)));
    assert_eq!(pop(&mut queue), Some((team("a"), 1)));
}

#[test]
fn no_hoarding() {
    // A team that was idle for long must not delay all other teams when it returns.
    let mut queue = Queue::default();
    queue.settle_charge(&team("a"), Duration::ZERO, Duration::from_millis(10));
    for n in 0..100 {
        push(&mut queue, request("a", 1), n);
        pop(&mut queue).unwrap();
        queue.charge_start(&team("a"), Share::new(1));
    }
    for n in 0..10 {
        push(&mut queue, request("a", 1), n);
    }
    for n in 0..10 {
        push(&mut queue, request("b", 1), n);
    }
    let mut starts = Map::<TeamId, u32>::default();
    for _ in 0..10 {
        let (team, _) = pop(&mut queue).unwrap();
        queue.charge_start(&team, Share::new(1));
        *starts.entry(team).or_default() += 1;
    }
    assert_eq!(starts[&team("a")], 5);
}

#[test]
fn passed_over() {
    // A team at its limit must not block other teams.
    let mut queue = Queue::default();
    push(&mut queue, request("a", 1), 1);
    push(&mut queue, request("b", 1), 2);
    queue.begin_round(Time::new(0));
    let mut asked = 0;
    let mut only_b = |t: &TeamId| {
        asked += 1;
        t.as_str() == "b"
    };
    assert_eq!(queue.pop(&mut only_b), Some((team("b"), 2)));
    assert_eq!(queue.pop(&mut only_b), None);
    assert!(asked <= 3);
    assert_eq!(pop(&mut queue), Some((team("a"), 1)));
}

#[test]
fn early_refusal() {
    // Ten runs of 100 ms precede a request with a deadline in 500 ms: it is refused at once, with
    // a retry delay.
    let mut queue = Queue::default();
    queue.settle_charge(&team("a"), Duration::ZERO, Duration::from_millis(100));
    let one_slot = Concurrency {
        slots: 1,
        units: 10,
    };
    for n in 0..10 {
        queue
            .push(Time::new(0), request("a", 1), one_slot, n)
            .unwrap();
    }
    let late = QueueRequest {
        deadline: Time::new(500),
        ..request("a", 1)
    };
    let refusal = queue.push(Time::new(0), late, one_slot, 0).unwrap_err();
    assert_eq!(refusal.code, Code::Deadline);
    assert_eq!(refusal.retry, Some(Duration::from_secs(1)));
    let urgent = QueueRequest {
        urgent: true,
        deadline: Time::new(500),
        ..request("b", 1)
    };
    assert!(queue.push(Time::new(0), urgent, one_slot, 0).is_ok());
}

#[test]
fn late_or_gone() {
    let mut queue = Queue::default();
    let short = QueueRequest {
        deadline: Time::new(10),
        ..request("a", 1)
    };
    push(&mut queue, short, 1);
    let gone = push(&mut queue, request("a", 1), 2);
    push(&mut queue, request("a", 1), 3);
    assert!(queue.cancel(&team("a"), gone));
    assert!(!queue.cancel(&team("a"), gone));
    queue.begin_round(Time::new(10));
    assert_eq!(queue.pop(|_| true), Some((team("a"), 3)));
    assert!(queue.is_empty());
}

#[test]
fn bounded() {
    let mut queue = Queue::default();
    let full = (0..2_000).map(|n| queue.push(Time::new(0), request("a", 1), UNLIMITED, n));
    let refused: Vec<_> = full.filter_map(Result::err).collect();
    assert!(
        refused
            .iter()
            .all(|r| r.code == Code::QueueFull && r.retry.is_some())
    );
    assert_eq!(queue.len() + refused.len(), 2_000);
    assert!(queue.len() < 1_000);
}
