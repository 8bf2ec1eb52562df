//! What decisions cost without any I/O.

use std::hint::black_box;
use std::time::Instant;

use cactuswheel_admission::UnitCounter;
use cactuswheel_model::{Incarnation, PoolId, Slots, TeamId, Time};
use cactuswheel_routing::{Candidate, Nearness, Outcome, Routes};

/// A size of the fleet.
#[derive(Debug, Clone, Copy)]
struct Size {
    name: &'static str,
    instances: usize,
    pools: usize,
    teams: usize,
}

const SIZES: [Size; 2] = [
    Size {
        name: "today",
        instances: 50,
        pools: 5,
        teams: 6,
    },
    Size {
        name: "two-year",
        instances: 8_700,
        pools: 63,
        teams: 160,
    },
];

/// Repetitions of a decision.
const ROUNDS: u64 = 200_000;

/// Measures and prints each decision at each size.
pub(crate) fn measure() {
    for size in SIZES {
        println!(
            "{}: {} instances, {} pools, {} teams",
            size.name, size.instances, size.pools, size.teams
        );
        let routes = routes(size);
        println!(
            "  upstream, free slots     {:8.0} ns",
            choose(size, &routes)
        );
        println!(
            "  upstream, all but one full {:6.0} ns",
            choose_full(size, &routes)
        );
        println!("  team's unit              {:8.0} ns", admit(size));
        println!(
            "  routes built anew        {:8.0} us",
            rebuild(size, &routes) / 1e3
        );
    }
}

fn pool(n: usize) -> PoolId {
    format!("pool-{n}")
        .parse()
        .expect("the name is well formed")
}

fn candidates(size: Size) -> impl Iterator<Item = Candidate> {
    (0..size.instances).map(move |n| Candidate {
        id: format!("w{n}").parse().expect("the name is well formed"),
        incarnation: Incarnation::new(1),
        addr: ([127, 0, (n >> 8) as u8, n as u8], 9000).into(),
        slots: Slots::new(8),
        min_slots: 1,
        conns: 7,
        pool: pool(n % size.pools),
        nearness: match n / size.pools % 3 {
            0 => Nearness::SameDc,
            1 => Nearness::SameRegion,
            _ => Nearness::OtherRegion,
        },
    })
}

fn routes(size: Size) -> Routes<()> {
    Routes::new(candidates(size), &Routes::default())
}

/// Nanoseconds for one run of `decision`, which gets its number.
fn time(rounds: u64, mut decision: impl FnMut(u64)) -> f64 {
    let start = Instant::now();
    (0..rounds).for_each(&mut decision);
    start.elapsed().as_nanos() as f64 / rounds as f64
}

fn draw(n: u64) -> u64 {
    n.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// Choice of an upstream, its outcome, and the slot given back.
fn choose(size: Size, routes: &Routes<()>) -> f64 {
    let pools: Vec<_> = (0..size.pools).map(pool).collect();
    let took = Outcome::Answered(std::time::Duration::from_millis(5));
    time(ROUNDS, |n| {
        let pool = &pools[n as usize % pools.len()];
        let now = Time::new(n / 100);
        if let Ok(lease) = black_box(routes.pick(pool, &[], now, draw(n))) {
            lease.record_outcome(took, now);
        }
    })
}

/// The longest search: every slot of the pool but one is taken.
fn choose_full(size: Size, routes: &Routes<()>) -> f64 {
    let pool = pool(0);
    let now = Time::new(0);
    let pick = |n| routes.pick(&pool, &[], now, draw(n));
    let mut held: Vec<_> = (0..).map_while(|n| pick(n).ok()).collect();
    held.pop();
    let spent = time(ROUNDS / 10, |n| drop(black_box(pick(n))));
    assert!(held.len() + 1 >= size.instances / size.pools);
    spent
}

/// A team's unit taken and given back.
fn admit(size: Size) -> f64 {
    let names = (0..size.teams).map(|n| format!("team-{n}").parse());
    let teams: Vec<TeamId> = names
        .map(|name| name.expect("the name is well formed"))
        .collect();
    let mut gate = UnitCounter::default();
    time(ROUNDS, |n| {
        let team = &teams[n as usize % teams.len()];
        if black_box(gate.acquire(team, 100)) {
            gate.release(team);
        }
    })
}

/// Routes after a change of one instance.
fn rebuild(size: Size, routes: &Routes<()>) -> f64 {
    let all: Vec<_> = candidates(size).collect();
    time(20, |_| {
        black_box(Routes::new(all.iter().cloned(), routes));
    })
}
