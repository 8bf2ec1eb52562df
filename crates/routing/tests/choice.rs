//! Tests of the selection of an upstream.

use std::time::Duration;

use cactuswheel_model::{Incarnation, PoolId, Slots, Time};
use cactuswheel_routing::{Candidate, Lease, Nearness, Outcome, Routes, even_share};
use cactuswheel_testkit::check;

type Link = ();

fn candidate(n: usize, nearness: Nearness) -> Candidate {
    Candidate {
        id: format!("w{n}").parse().unwrap(),
        incarnation: Incarnation::new(1),
        addr: ([127, 0, 0, 1], 9000 + n as u16).into(),
        slots: Slots::new(8),
        min_slots: 4,
        conns: 10,
        pool: pool(),
        nearness,
    }
}

fn pool() -> PoolId {
    "render".parse().unwrap()
}

fn routes(near: usize, far: usize) -> Routes<Link> {
    let near = (0..near).map(|n| candidate(n, Nearness::SameDc));
    let far = (0..far).map(|n| candidate(100 + n, Nearness::OtherRegion));
    Routes::new(near.chain(far), &Routes::default())
}

/// A fixed sequence that is distributed evenly enough to replace a random one.
fn draw(n: u64) -> u64 {
    n.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

fn pick(routes: &Routes<Link>, now: u64, n: u64) -> Option<Lease<Link>> {
    routes.pick(&pool(), &[], Time::new(now), draw(n)).ok()
}

#[test]
fn near_first() {
    // Requests stay in their data centre while it has free slots, spill over when it is full, and
    // are refused when no slot is left.
    let routes = routes(2, 2);
    let leases: Vec<_> = (0..33).map(|n| pick(&routes, 0, n)).collect();
    let far =
        |l: &Option<Lease<Link>>| l.as_ref().is_some_and(|l| l.upstream().addr.port() >= 9100);
    assert!(!leases[..16].iter().any(far));
    assert!(leases[16..32].iter().all(far));
    assert!(leases[32].is_none());
}

#[test]
fn never_tried_twice() {
    let routes = routes(3, 0);
    let mut tried = Vec::new();
    for n in 0..3 {
        let lease = routes.pick(&pool(), &tried, Time::new(0), draw(n)).unwrap();
        let upstream = lease.upstream().clone();
        assert!(
            tried
                .iter()
                .all(|t: &std::sync::Arc<_>| !std::sync::Arc::ptr_eq(t, &upstream))
        );
        tried.push(upstream);
    }
    assert!(routes.pick(&pool(), &tried, Time::new(0), 0).is_err());
}

#[test]
fn pool_wide_failure() {
    // All upstreams fail all requests. At most half of the pool may be ejected at any time, so
    // that requests still reach upstreams.
    fn property(size: u8, draws: Vec<u64>) -> bool {
        let size = usize::from(size % 20) + 1;
        let routes = routes(size, 0);
        for (n, draw) in draws.iter().cycle().take(600).enumerate() {
            let now = Time::new(n as u64 * 20);
            let Ok(lease) = routes.pick(&pool(), &[], now, *draw) else {
                return false;
            };
            lease.record_outcome(Outcome::Failed, now);
            drop(lease);
            let usable = routes.usable(&pool(), now) as usize;
            if usable < 8 * size.div_ceil(2) {
                return false;
            }
        }
        true
    }
    check(21, 200, property as fn(u8, Vec<u64>) -> bool);
}

#[test]
fn failing_one() {
    // One of four upstreams breaks every connection: after a few failures it only gets an
    // occasional request, and after its first response it is used like the others.
    let routes = routes(4, 0);
    let mut failures = 0;
    for n in 0..4_000 {
        let now = Time::new(n * 5);
        let lease = pick(&routes, n * 5, n).unwrap();
        let bad = lease.upstream().addr.port() == 9000;
        failures += u32::from(bad);
        let outcome = match bad {
            true => Outcome::Failed,
            false => Outcome::Answered(Duration::from_millis(2)),
        };
        lease.record_outcome(outcome, now);
    }
    assert!((3..=12).contains(&failures), "{failures} of 4000");
    let after = 4_000 * 5 + 40_000;
    let trial = (0..)
        .find_map(|n| pick(&routes, after, n).filter(|lease| lease.upstream().addr.port() == 9000));
    let took = Outcome::Answered(Duration::from_millis(2));
    trial.unwrap().record_outcome(took, Time::new(after));
    assert_eq!(routes.usable(&pool(), Time::new(after)), 32);
}

#[test]
fn slow_one() {
    // One of ten upstreams is fifty times slower. It gets far fewer than a tenth of the requests,
    // but is tried again.
    let routes = routes(10, 0);
    let mut slow = 0;
    for n in 0..5_000 {
        let lease = pick(&routes, n, n).unwrap();
        let bad = lease.upstream().addr.port() == 9000;
        slow += u32::from(bad);
        let took = if bad { 100 } else { 2 };
        let took = Outcome::Answered(Duration::from_millis(took));
        lease.record_outcome(took, Time::new(n));
    }
    assert!((1..=100).contains(&slow), "{slow} of 5000");
}

#[test]
fn full_one() {
    // Other entries fill an upstream and it declines a request: this entry then uses fewer of its
    // slots, but never fewer than its own share, and more again as responses arrive.
    let routes = routes(1, 0);
    let leases: Vec<_> = (0..8).map_while(|n| pick(&routes, 0, n)).collect();
    assert_eq!(leases.len(), 8);
    leases[7].record_outcome(Outcome::Full, Time::new(0));
    assert_eq!(routes.usable(&pool(), Time::new(0)), 7);
    drop(leases);
    let lease = pick(&routes, 0, 0).unwrap();
    (0..9).for_each(|_| lease.record_outcome(Outcome::Full, Time::new(0)));
    assert_eq!(routes.usable(&pool(), Time::new(0)), 4);
    let took = Outcome::Answered(Duration::from_millis(1));
    (0..64 * 4).for_each(|_| lease.record_outcome(took, Time::new(0)));
    assert_eq!(routes.usable(&pool(), Time::new(0)), 8);
}

#[test]
fn shares_fit() {
    // Entries do not see each other's connections, so their shares together must not exceed the
    // total.
    fn property(total: u16, entries: u8) -> bool {
        let (total, entries) = (u32::from(total), u32::from(entries));
        let part = even_share(total, entries);
        part >= 1 && (total < entries || part * entries <= total.max(1))
    }
    check(22, 1_000, property as fn(u16, u8) -> bool);
}

#[test]
fn new_life() {
    // A rebooted upstream at the same address is another upstream: the failures and running
    // requests of its previous life do not count against it.
    let old = routes(2, 0);
    let lease = pick(&old, 0, 0).unwrap();
    let n = usize::from(lease.upstream().addr.port() - 9000);
    let again = Candidate {
        incarnation: Incarnation::new(2),
        ..candidate(n, Nearness::SameDc)
    };
    let new = Routes::new([again, candidate(1 - n, Nearness::SameDc)], &old);
    assert!(new.upstreams().all(|u| u.running() == 0));
    let same = Routes::new([candidate(n, Nearness::SameDc)], &old);
    assert!(same.upstreams().all(|u| u.running() == 1));
}
