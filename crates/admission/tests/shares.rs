//! Tests of the correction towards shares of the whole fleet.

use cactuswheel_admission::{Shares, TeamUsage};
use cactuswheel_model::{EntryId, Share, TeamId, Time};
use cactuswheel_testkit::check;

fn team(name: &str) -> TeamId {
    name.parse().unwrap()
}

fn entry(n: usize) -> EntryId {
    format!("e{n}").parse().unwrap()
}

fn usage(slots: u32) -> TeamUsage {
    TeamUsage {
        slots: slots << 8,
        waits: true,
    }
}

fn even(_: &TeamId) -> Share {
    Share::new(1)
}

#[test]
fn lifts_the_poor() {
    // Both teams have requests waiting here; at another entry, one of them has nearly all slots.
    let mut shares = Shares::default();
    shares.sample(&team("poor"), 8, true);
    shares.sample(&team("rich"), 8, true);
    shares.record_digest(Time::new(0), entry(1), vec![(team("rich"), usage(50))]);
    let factors = shares.update_factors(Time::new(0), even);
    assert!(factors[&team("poor")] > 1_024 && factors[&team("rich")] < 1_024);
}

#[test]
fn stale_peer() {
    let mut shares = Shares::default();
    shares.sample(&team("a"), 8, true);
    shares.sample(&team("b"), 8, true);
    shares.record_digest(Time::new(0), entry(1), vec![(team("a"), usage(50))]);
    let factors = shares.update_factors(Time::new(20_000), even);
    assert_eq!(factors[&team("a")], factors[&team("b")]);
}

#[test]
fn idle_team() {
    // A team without waiting requests needs no more slots; its share goes to the teams that wait.
    let mut shares = Shares::default();
    shares.sample(&team("a"), 8, false);
    shares.sample(&team("b"), 8, true);
    assert!(
        !shares
            .update_factors(Time::new(0), even)
            .contains_key(&team("a"))
    );
}

#[test]
fn within_bounds() {
    // For any digests from peers, correction factors stay within their bounds.
    let property = |told: Vec<(u8, u32, bool)>| {
        let mut shares = Shares::default();
        shares.sample(&team("t0"), 3, true);
        for (n, (name, slots, waits)) in told.into_iter().enumerate() {
            let row = (team(&format!("t{}", name % 5)), TeamUsage { slots, waits });
            shares.record_digest(Time::new(0), entry(n), vec![row]);
        }
        (0..50).all(|_| {
            let factors = shares.update_factors(Time::new(0), even);
            factors.values().all(|f| (64..=16_384).contains(f))
        })
    };
    check(52, 100, property as fn(Vec<(u8, u32, bool)>) -> bool);
}
