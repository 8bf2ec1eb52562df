//! Open jobs that take up much of the nodes' memory.

use std::time::{Duration, Instant};

use cactuswheel_http::Call;
use cactuswheel_soak::World;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Largest number of jobs that a test submits.
const MAX_FILL: usize = 5_000;

/// How far ahead the jobs are due, in milliseconds.
const AHEAD: u64 = 600_000;

/// The body of a job that is due once, in [`AHEAD`], with `steps` steps one after the other.
fn timed(steps: u64) -> Value {
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let wall = wall.expect("the clock is after 1970").as_millis() as u64;
    let step = |n: u64| {
        let after: Vec<u64> = n.checked_sub(1).into_iter().collect();
        json!({
            "count": 1, "cpu": 1_000, "mem_mb": 100, "estimate_ms": 200, "after": after,
            "image": "registry.example/images/assemble:42",
        })
    };
    json!({
        "spec": "x".repeat(4_000), "steps": (0..steps).map(step).collect::<Vec<_>>(),
        "begin_ms": wall + AHEAD, "interval_ms": 1_000, "times": 1,
    })
}

/// Submits jobs, one attempt for each, until `wanted` of them are accepted or one is refused as
/// there are too many; returns the paths of those accepted.
async fn fill(world: &World, wanted: usize, body: &Value) -> Vec<String> {
    let mut accepted = Vec::new();
    for id in 0..MAX_FILL {
        let path = format!("/a/{id:016x}");
        let node = &world.nodes[id % world.nodes.len()];
        let call = Call::post(node.callers, &path).with_timeout(Duration::from_secs(3));
        let call = call.with_json(body).expect("a job can be encoded as JSON");
        let answer = call.send().await.expect("a node answers");
        if !answer.status.is_success() {
            assert_eq!(answer.status.as_u16(), 503);
            let text = answer.json::<Value>().unwrap_or_default().to_string();
            assert!(text.contains("211"), "{text}");
            return accepted;
        }
        accepted.push(path);
        if accepted.len() == wanted {
            return accepted;
        }
    }
    accepted
}

/// Kills the owner and waits until all accepted jobs are known again; returns how long it took.
async fn kill_owner(world: &mut World, accepted: &[String], limit: Duration) -> Duration {
    let taken = world.log("cell taken over").len();
    let owner = world.owner().expect("a node owns the cell");
    world.nodes[owner].signal("KILL");
    let start = Instant::now();
    while world.log("cell taken over").len() == taken {
        assert!(start.elapsed() < limit, "{:#?}", last_lines(world));
        sleep(Duration::from_millis(50)).await;
    }
    let took = start.elapsed();
    let mut caller = world.caller(owner);
    for path in accepted.iter().step_by(accepted.len().div_ceil(20)) {
        let start = Instant::now();
        loop {
            match caller.job_status(path).await {
                Some((200, _)) => break,
                other => assert!(
                    start.elapsed() < Duration::from_secs(8),
                    "{path}: {other:?}"
                ),
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
    let takeovers = world.log("cell taken over").len();
    assert_eq!(takeovers, taken + 1, "another takeover followed");
    took
}

/// Guards against accepted jobs that no node takes over, so that no job is answered any more: what
/// is accepted up to the limit is taken over, and what lies beyond is refused at once.
#[tokio::test(flavor = "multi_thread")]
async fn taken_over() {
    let settings = |_| json!({ "memory_mb": 16 });
    let mut world = World::with_settings(3, 31, settings).await;
    let accepted = fill(&world, usize::MAX, &timed(400)).await;
    // 16 MiB of memory allow 5 MiB of state, of which a team may use three quarters.
    assert!((100..200).contains(&accepted.len()), "{}", accepted.len());
    kill_owner(&mut world, &accepted, Duration::from_secs(20)).await;
}

/// Guards against a node that is accepted as the owner of jobs that a smaller node would have to
/// take over: the limit is that of the smallest node known.
#[tokio::test(flavor = "multi_thread")]
async fn smallest_node() {
    let memory = |n: usize| if n == 2 { 8 } else { 512 };
    let settings = |n| json!({ "memory_mb": memory(n), "cores": if n == 2 { 0.2 } else { 2.0 } });
    let world = World::with_settings(3, 32, settings).await;
    assert_ne!(world.owner(), Some(2), "the weakest node owns the cell");
    sleep(Duration::from_secs(3)).await;
    let accepted = fill(&world, usize::MAX, &timed(400)).await;
    assert!((40..120).contains(&accepted.len()), "{}", accepted.len());
}

/// Guards against an ownership that passes from node to node because reading the state takes long:
/// the owner keeps renewing it meanwhile. 10 MB of jobs on links of 10 Mbit/s.
#[tokio::test(flavor = "multi_thread")]
async fn slow_link() {
    let settings = |_| json!({ "memory_mb": 160, "link_mbps": 10 });
    let mut world = World::with_settings(3, 33, settings).await;
    let accepted = fill(&world, 160, &timed(1_000)).await;
    assert_eq!(accepted.len(), 160);
    for proxy in &world.proxies {
        proxy.limit_rate(1_250_000);
    }
    kill_owner(&mut world, &accepted, Duration::from_secs(40)).await;
}

/// Measures the largest state that nodes accept and take over: `MEMORY_MB` and `LINK_MBPS`.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of a minute or more, run by hand"]
async fn largest() {
    let read = |name: &str, usual: u64| std::env::var(name).map_or(Ok(usual), |v| v.parse());
    let memory = read("MEMORY_MB", 160).expect("MEMORY_MB is a number");
    let link = read("LINK_MBPS", 10).expect("LINK_MBPS is a number");
    let settings = |_| json!({ "memory_mb": memory, "link_mbps": link });
    let mut world = World::with_settings(3, 34, settings).await;
    let accepted = fill(&world, usize::MAX, &timed(1_000)).await;
    let before = resident_sizes(&world);
    for proxy in &world.proxies {
        proxy.limit_rate(link * 125_000);
    }
    let took = kill_owner(&mut world, &accepted, Duration::from_secs(240)).await;
    println!(
        "{memory} MB, {link} Mbit/s: {} jobs, taken over after {took:?}; resident MB before \
         {before:?}, after {:?}; {:?}",
        accepted.len(),
        resident_sizes(&world),
        world.log("cell taken over").last()
    );
}

/// The last log lines of each node.
fn last_lines(world: &World) -> Vec<String> {
    let last = |lines: Vec<String>| lines.into_iter().rev().take(30).rev().collect::<Vec<_>>();
    world.nodes.iter().flat_map(|n| last(n.lines())).collect()
}

/// Resident and highest resident size of each process that runs, in MB.
fn resident_sizes(world: &World) -> Vec<(u64, u64)> {
    let size = |status: &str, name: &str| {
        let line = status.lines().find(|l| l.starts_with(name))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1_024)
    };
    let status = |n: &cactuswheel_soak::Node| {
        let status = std::fs::read_to_string(format!("/proc/{}/status", n.process_id()?)).ok()?;
        Some((size(&status, "VmRSS:")?, size(&status, "VmHWM:")?))
    };
    world.nodes.iter().filter_map(status).collect()
}
