//! What following the log costs a real entry at several sizes: processor time, memory, bytes.
//!
//! `cargo build --release --workspace`, then
//! `cargo run --release -p cactuswheel-e2e --example follower_cost [INSTANCES]`

use std::fs;
use std::time::Duration;

use cactuswheel_e2e::{Fleet, OPERATOR_KEY, Relay};
use cactuswheel_http::Call;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Instances, pools and teams of each size; the last is the one designed for.
const SIZES: [(usize, usize, usize); 4] = [
    (50, 5, 6),
    (1_000, 15, 40),
    (4_000, 40, 100),
    (8_700, 63, 160),
];

/// Objects in one of the first tickets.
const CHUNK: usize = 100;

/// Tickets counted.
const TICKETS: u64 = 400;

/// Tickets on their way at the same time.
const FLIGHT: usize = 20;

/// Time without tickets over which an entry is watched.
const IDLE: Duration = Duration::from_secs(20);

/// Time without a record after which the log counts as quiet.
const QUIET: Duration = Duration::from_secs(12);

/// Tickets whose way to another entry is timed.
const SPREADS: u64 = 20;

/// Milliseconds in a tick of `/proc/PID/stat`.
const TICK: f64 = 10.0;

#[tokio::main]
async fn main() {
    let wanted = std::env::args().nth(1);
    let wanted = wanted.map(|n| n.parse::<usize>().expect("a number of instances"));
    for size in SIZES {
        if wanted.is_none_or(|n| n == size.0) {
            run(size).await;
        }
    }
}

async fn run((instances, pools, teams): (usize, usize, usize)) {
    let mut fleet = Fleet::start(0, 1);
    let relay = fleet.put_behind_relay(0).await;
    fleet.settle(0).await;
    let mut last = load(&fleet, instances, pools, teams).await;
    println!("{instances}/{pools}/{teams}");
    list(&fleet, instances).await;
    quiet(&fleet).await;
    watch(&fleet, &relay).await;

    let (cpu, bytes) = (cpu(&fleet), relay.passed());
    for start in (0..TICKETS).step_by(FLIGHT) {
        let some: Vec<_> = (start..start + FLIGHT as u64)
            .map(|n| ticket(last + 1 + n, &[extra(n)]))
            .collect();
        put_all(&fleet, some).await;
    }
    last += TICKETS;
    let each = |all: f64| all / TICKETS as f64;
    println!(
        "  each ticket: {:.2} ms of processor time, {:.0} bytes to and from the platform",
        each(self::cpu(&fleet) - cpu),
        each((relay.passed() - bytes) as f64)
    );
    println!("  memory: {}", memory(&fleet));
    restart(&mut fleet, &relay, last).await;
    spread(&mut fleet, last + 2).await;
}

/// Time from a ticket's hand-over at one entry until another entry has it in force.
///
/// The other entry is asked every 20 ms, so that is how exact it is.
async fn spread(fleet: &mut Fleet, first: u64) {
    fleet.add_entry();
    fleet
        .wait_status(fleet.admins[1], |s| s["ready"] == true)
        .await;
    let mut longest = Duration::ZERO;
    for number in first..first + SPREADS {
        let start = Instant::now();
        put_all(fleet, vec![ticket(number, &[extra(number)])]).await;
        while fleet.admin(1, &format!("/v1/tickets/{number}")).await["offset"].is_null() {
            sleep(Duration::from_millis(20)).await;
        }
        longest = longest.max(start.elapsed());
    }
    println!("  in force at another entry: {longest:.0?} at the longest of {SPREADS} tickets");
}

/// Has the platform list every instance.
async fn list(fleet: &Fleet, instances: usize) {
    let names: Vec<_> = (0..instances).map(|n| format!("worker-{n:05}")).collect();
    for some in names.chunks(FLIGHT) {
        let mut all = JoinSet::new();
        for id in some {
            let sighting = json!({"id": id, "incarnation": 1, "addr": "127.0.0.1:9",
                "presence": "live"});
            let call = Call::post(fleet.platform_addr, "/roster").with_json(&sighting);
            all.spawn(call.expect("a sighting is JSON").send());
        }
        while let Some(answer) = all.join_next().await {
            answer
                .expect("the task ends")
                .expect("the platform answers");
        }
    }
    let listed = |s: &Value| s["upstreams"] == instances;
    fleet.wait_status(fleet.admins[0], listed).await;
}

/// Waits until nothing new comes.
async fn quiet(fleet: &Fleet) {
    let next = async || fleet.admin(0, "/v1/status").await["next"].as_u64();
    let mut before = None;
    while before != next().await {
        before = next().await;
        sleep(QUIET).await;
    }
}

/// Watches an entry that has nothing to do.
async fn watch(fleet: &Fleet, relay: &Relay) {
    let next = async || fleet.admin(0, "/v1/status").await["next"].as_u64();
    let before = next().await.unwrap_or(0);
    let (cpu, bytes) = (cpu(fleet), relay.passed());
    sleep(IDLE).await;
    println!(
        "  idle: {:.3} % of a core, {:.0} bytes/s to and from the platform (roster included), \
         {} records",
        (self::cpu(fleet) - cpu) / IDLE.as_millis() as f64 * 100.0,
        (relay.passed() - bytes) as f64 / IDLE.as_secs_f64(),
        next().await.unwrap_or(0) - before
    );
}

/// Lets a snapshot be written, then replaces the entry by an empty one.
async fn restart(fleet: &mut Fleet, relay: &Relay, last: u64) {
    let head = fleet.admin(0, "/v1/status").await["next"].as_u64();
    fleet.trim(0).await;
    put_all(fleet, vec![ticket(last + 1, &[team(0, 7)])]).await;
    let written = |s: &Value| s["snapshot"].as_u64() >= head;
    fleet.wait_status(fleet.admins[0], written).await;
    println!("  memory after a snapshot: {}", memory(fleet));
    let (start, bytes) = (Instant::now(), relay.passed());
    fleet.replace_entry(0);
    fleet
        .wait_status(fleet.admins[0], |s| s["ready"] == true)
        .await;
    println!(
        "  fresh entry: ready after {:.0?}, {} bytes from the platform, memory {}",
        start.elapsed(),
        relay.passed() - bytes,
        memory(fleet)
    );
}

async fn load(fleet: &Fleet, instances: usize, pools: usize, teams: usize) -> u64 {
    let dc = |n| json!({"dc": {"id": format!("dc-{n:02}"), "region": format!("region-{}", n % 7)}});
    let mut base: Vec<_> = (0..25).map(dc).collect();
    base.extend((0..pools).map(|n| json!({"pool": {"id": format!("pool-{n:02}")}})));
    base.extend((0..teams).map(|n| team(n, 100)));
    put_all(fleet, vec![ticket(1, &base)]).await;
    let all: Vec<_> = (0..instances)
        .map(|n| {
            json!({"instance": {"id": format!("worker-{n:05}"), "pool": format!("pool-{:02}", n % pools),
                "dc": format!("dc-{:02}", n % 25), "rack": format!("rack-{:04}", n / 4),
                "cores": 64, "memory": 131072, "slots": 8, "conns": 64}})
        })
        .collect();
    let chunks = (2..).zip(all.chunks(CHUNK));
    let tickets: Vec<_> = chunks.map(|(n, c)| ticket(n, c)).collect();
    let last = 1 + tickets.len() as u64;
    put_all(fleet, tickets).await;
    last
}

async fn put_all(fleet: &Fleet, tickets: Vec<Value>) {
    let mut all = JoinSet::new();
    for ticket in tickets {
        let call = Call::post(fleet.admins[0], "/v1/tickets").with_key(OPERATOR_KEY);
        let call = call.with_json(&ticket).expect("a ticket is JSON");
        all.spawn(call.with_timeout(Duration::from_secs(20)).send());
    }
    while let Some(answer) = all.join_next().await {
        let answer = answer.expect("the task ends").expect("the entry answers");
        assert_eq!(answer.status, 200, "{:?}", answer.body);
    }
}

/// Tickets on their way together must not touch the same object: a higher number that comes
/// first makes the lower one stale.
fn extra(n: u64) -> Value {
    json!({"dc": {"id": format!("extra-{n}"), "region": "region-0"}})
}

fn team(n: usize, limit: u64) -> Value {
    json!({"team": {"id": format!("team-{n:03}"), "share": 1, "limit": limit}})
}

fn ticket(number: u64, changes: &[Value]) -> Value {
    json!({"ticket": number, "reason": "routine change of the day", "changes": changes})
}

/// Processor time of the entry so far, in milliseconds.
fn cpu(fleet: &Fleet) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", fleet.entries[0].id()));
    let stat = stat.unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() * TICK
}

/// Resident memory of the entry, now and at its highest.
fn memory(fleet: &Fleet) -> String {
    let status = fs::read_to_string(format!("/proc/{}/status", fleet.entries[0].id()));
    let status = status.unwrap_or_default();
    let lines = status
        .lines()
        .filter(|l| l.starts_with("VmRSS") || l.starts_with("VmHWM"));
    lines
        .map(|l| l.replace('\t', " "))
        .collect::<Vec<_>>()
        .join(", ")
}
