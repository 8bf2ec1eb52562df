//! Measures the cost of the fold at several fleet sizes: time per ticket, snapshots, memory.
//!
//! `cargo run --release -p cactuswheel-fleet --example fold_cost [INSTANCES]`
//!
//! Memory is that of the whole process, so it is meaningful only when a single size is run.

use std::fs;
use std::time::{Duration, Instant};

use cactuswheel_fleet::{Replica, Snapshot};
use cactuswheel_model::Digest;
use serde_json::{Value, json};

/// Number of instances, pools and teams of each fleet size; the last is the one that the design
/// targets.
const SIZES: [(usize, usize, usize); 4] = [
    (50, 5, 6),
    (1_000, 15, 40),
    (4_000, 40, 100),
    (8_700, 63, 160),
];

/// Number of tickets applied before the timing starts.
const HISTORY: usize = 18_000;

/// Number of tickets timed.
const TIMED: usize = 2_000;

/// Number of tickets per day, used to compute the share of a core.
const DAILY_TICKETS: f64 = 18_000.0;

fn main() {
    println!("size: instances/pools/teams, {HISTORY} tickets of history, {TIMED} tickets timed");
    let wanted = std::env::args().nth(1);
    let wanted = wanted.map(|n| n.parse::<usize>().expect("a number of instances"));
    for size in SIZES {
        if wanted.is_none_or(|n| n == size.0) {
            run(size);
        }
    }
}

fn run((instances, pools, teams): (usize, usize, usize)) {
    let mut replica = Replica::default();
    let empty = resident_kib();
    apply(&mut replica, &initial_tickets(instances, pools, teams), 500);
    for start in (0..HISTORY).step_by(500) {
        let some: Vec<_> = (start..start + 500)
            .map(|n| routine_ticket(n, instances, pools))
            .collect();
        apply(&mut replica, &some, 500);
    }
    let held = resident_kib().saturating_sub(empty);
    let timed: Vec<_> = (HISTORY..HISTORY + TIMED)
        .map(|n| routine_ticket(n, instances, pools))
        .collect();
    let bytes: usize = timed.iter().map(String::len).sum();

    println!("{instances}/{pools}/{teams}");
    for batch in [1, 10, 500] {
        let mut copy = replica.clone();
        let took = apply(&mut copy, &timed, batch);
        let each = took.as_secs_f64() * 1e6 / TIMED as f64;
        let share = each * DAILY_TICKETS / 86_400e6 * 100.0;
        println!("  batches of {batch}: {each:.1} us a ticket, {share:.4} % of a core a day");
    }
    println!("  record: {} bytes", bytes / TIMED);
    println!(
        "  memory: {held} KiB more with the state, {} KiB after timing",
        resident_kib()
    );
    snapshot(&replica);
}

fn snapshot(replica: &Replica) {
    let start = Instant::now();
    let snapshot = Snapshot::of(replica.state()).expect("a state can be written as JSON");
    let parts = snapshot.parts().len();
    let wrote = start.elapsed();
    let start = Instant::now();
    let state = snapshot
        .state()
        .expect("a snapshot just written can be read");
    let read = start.elapsed();
    assert_eq!(state.next(), replica.state().next());
    let size = snapshot.text().len();
    println!(
        "  snapshot: {size} bytes in {parts} parts, written in {wrote:.1?}, read in {read:.1?}, \
         {:.0} s at 8 KB/s",
        size as f64 / 8_000.0
    );
    for (name, part) in sections(&snapshot) {
        println!("    {name}: {part} bytes");
    }
}

fn sections(snapshot: &Snapshot) -> Vec<(String, usize)> {
    let value: Value = serde_json::from_str(snapshot.text()).expect("a snapshot is JSON");
    let fields = value.as_object().into_iter().flatten();
    let sized = fields.map(|(name, v)| (name.clone(), v.to_string().len()));
    sized.filter(|(_, size)| *size > 1_000).collect()
}

/// Applies records in batches, as the daemon's follower of the log does; a reader holds the state
/// before each batch.
fn apply(replica: &mut Replica, bodies: &[String], batch: usize) -> Duration {
    let start = Instant::now();
    for bodies in bodies.chunks(batch) {
        let held = replica.state().clone();
        let next = held.next();
        replica.apply(next, bodies).expect("no gap");
    }
    start.elapsed()
}

fn instance(n: usize, pool: usize) -> Value {
    json!({"instance": {"id": format!("worker-{n:05}"), "pool": format!("pool-{pool:02}"),
        "dc": format!("dc-{:02}", n % 25), "rack": format!("rack-{:04}", n / 4), "cores": 64,
        "memory": 131072, "slots": 8, "conns": 64}})
}

fn team(n: usize, limit: usize) -> Value {
    json!({"team": {"id": format!("team-{n:03}"), "share": 1 + n % 9, "limit": limit}})
}

fn ticket(number: usize, changes: &[Value]) -> String {
    let reason = "routine change of the day";
    json!({"ticket": {"ticket": number, "author": "ana", "at": 1_790_000_000_000_u64,
        "reason": reason, "changes": changes}})
    .to_string()
}

/// The initial configuration, in tickets of 100 objects.
fn initial_tickets(instances: usize, pools: usize, teams: usize) -> Vec<String> {
    let mut all: Vec<_> = (0..25)
        .map(|n| json!({"dc": {"id": format!("dc-{n:02}"), "region": format!("region-{}", n % 7)}}))
        .collect();
    all.extend((0..pools).map(|n| json!({"pool": {"id": format!("pool-{n:02}")}})));
    all.extend((0..teams).map(|n| team(n, 100)));
    all.extend((0..teams * 2).map(|n| {
        let digest = Digest::of(&n.to_le_bytes());
        json!({"key": {"digest": digest, "team": format!("team-{:03}", n / 2)}})
    }));
    all.extend((0..instances).map(|n| instance(n, n % pools)));
    all.extend((0..pools).map(|n| {
        json!({"service": {"id": format!("service-{n:02}"), "pool": format!("pool-{n:02}"),
            "max_down": 1, "demand": 8}})
    }));
    let chunks = all.chunks(100).enumerate();
    chunks.map(|(n, c)| ticket(n + 1, c)).collect()
}

/// One routine ticket: half of the tickets move or change an instance, half change a team.
fn routine_ticket(n: usize, instances: usize, pools: usize) -> String {
    let number = 10_000 + n;
    match n % 2 {
        0 => {
            let id = n * 7 % instances;
            ticket(number, &[instance(id, (id + n / instances) % pools)])
        }
        _ => ticket(number, &[team(n % 6, 50 + n % 50)]),
    }
}

/// Resident memory of this process, in KiB.
fn resident_kib() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<usize>().ok());
    pages.unwrap_or(0) * 4
}
