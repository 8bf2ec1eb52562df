//! Nodes with low link bandwidth or little memory.

use std::time::{Duration, Instant};

use cactuswheel_local::Ledger;
use cactuswheel_relay::SpecDigest;
use cactuswheel_soak::{AcceptedJob, Caller, World};
use serde_json::{Value, json};
use tokio::time::sleep;

/// A step of two tasks that fit on any worker.
fn short() -> Value {
    json!([{ "count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 200 }])
}

/// Guards against a takeover that never finishes, which would leave callers waiting forever. The
/// owner is killed with hundreds of kilobytes of open jobs in the store. If the next owner read
/// all partitions at once, the pages would share its slow link, none would arrive within its
/// timeout, and each retry would start again from the first page. Renewals of the ownership would
/// queue behind the pages, and the next node would start over the same way. Reading two partitions
/// at a time and keeping the pages already read lets the takeover finish.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_ends() {
    let mut world = World::with_settings(3, 21, |_| json!({ "link_mbps": 1 })).await;
    let mut caller = world.caller(0);
    let unplaceable = json!([{ "count": 1, "cpu": 99_000, "mem_mb": 100, "estimate_ms": 200 }]);
    let spec = "x".repeat(4_000);
    for id in 0..120 {
        caller.submit("/a/", id, &unplaceable, &spec).await;
    }
    for proxy in &world.proxies {
        proxy.limit_rate(125_000);
    }
    let owner = world.owner().expect("a node owns the cell");
    world.nodes[owner].signal("KILL");
    let start = Instant::now();
    while world.log("cell taken over").len() < 2 {
        assert!(
            start.elapsed() < Duration::from_secs(30),
            "no takeover within 30 s"
        );
        sleep(Duration::from_millis(50)).await;
    }
    let job = caller.submit("/b/", 900, &short(), "work_ms=100").await;
    assert_eq!(caller.wait(&job).await.as_deref(), Ok("complete"));
    let taken = world.log("cell taken over").len();
    assert_eq!(taken, 2, "another takeover followed");
}

/// Jobs complete, and no task runs twice, when a relay is killed and then the owner. The owner's
/// link has bandwidth for orders to one worker only, so other nodes relay its orders.
#[tokio::test(flavor = "multi_thread")]
async fn relay_killed() {
    let mut world = World::with_settings(4, 22, |_| json!({ "link_mbps": 0.2 })).await;
    let start = Instant::now();
    while world.log("relay taken").is_empty() {
        assert!(start.elapsed() < Duration::from_secs(10), "no relay");
        sleep(Duration::from_millis(50)).await;
    }
    // By then, calls from the owner directly to workers have finished, and orders go through
    // relays.
    sleep(Duration::from_millis(1_500)).await;
    let mut caller = world.caller(0);
    let mut jobs = Vec::new();
    for id in 0..6 {
        jobs.push(caller.submit("/a/", id, &short(), "work_ms=900").await);
    }
    let owner = world.owner().expect("a node owns the cell");
    let carries = |n: usize| {
        !world.nodes[n]
            .log("orders are carried for an owner")
            .is_empty()
    };
    let relay = (0..4).find(|n| *n != owner && carries(*n));
    let relay = relay.expect("a node carries orders");
    world.nodes[relay].signal("KILL");
    for job in &jobs {
        assert_eq!(caller.wait(job).await.as_deref(), Ok("complete"));
    }
    for id in 10..16 {
        jobs.push(caller.submit("/a/", id, &short(), "work_ms=900").await);
    }
    world.nodes[owner].signal("KILL");
    for job in &jobs {
        assert_eq!(caller.wait(job).await.as_deref(), Ok("complete"));
    }
    let broken = world.platform.ledger(|l| l.violations.clone());
    assert_eq!(broken, Vec::<String>::new());
}

/// Guards against a cell without an owner, which would stop all jobs. The owner is killed, and the
/// node that claims the cell has too little memory for the open jobs: if it went on, it would be
/// killed for lack of memory at each attempt. Instead, it reports this and lets other nodes claim
/// the cell first, until a node with enough memory owns it.
#[tokio::test(flavor = "multi_thread")]
async fn too_large() {
    let memory = |n: usize| if n < 3 { 1 } else { 512 };
    // The settings claim that every node has enough memory. Otherwise the owner would refuse jobs
    // beyond what the smallest node takes over.
    let settings = |n: usize| json!({ "memory_mb": memory(n), "least_memory_mb": 512 });
    let mut world = World::with_settings(5, 23, settings).await;
    let mut caller = world.caller(0);
    let unplaceable = json!([{ "count": 1, "cpu": 99_000, "mem_mb": 100, "estimate_ms": 200 }]);
    let spec = "x".repeat(4_000);
    for id in 0..180 {
        caller.submit("/a/", id, &unplaceable, &spec).await;
    }
    let owner = world.owner().expect("a node owns the cell");
    world.nodes[owner].signal("KILL");
    let start = Instant::now();
    while world.owner().is_none_or(|n| n < 3 || n == owner) {
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "no node with enough memory took over"
        );
        sleep(Duration::from_millis(50)).await;
    }
    let job = caller.submit("/b/", 900, &short(), "work_ms=100").await;
    assert_eq!(caller.wait(&job).await.as_deref(), Ok("complete"));
}

/// Submits a job whose tasks run until it is cancelled, and waits until its tasks and those of
/// `first` fill the workers of the pool "main". The job has more tasks than these workers hold, so
/// no task of a later job starts before the cancel.
async fn fill_workers(world: &World, caller: &mut Caller, first: &AcceptedJob) -> AcceptedJob {
    let steps = json!([{
        "count": 14, "cpu": 8_000, "mem_mb": 100, "estimate_ms": 2_000, "long_running": true,
    }]);
    let blocker = caller.submit("/a/", 2, &steps, "lasts=1").await;
    let starts = |l: &Ledger| l.start_count(&first.id) + l.start_count(&blocker.id);
    let start = Instant::now();
    // The pool "other" keeps one of the seven instances.
    while world.platform.ledger(starts) < 12 {
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "the workers were not filled"
        );
        sleep(Duration::from_millis(50)).await;
    }
    blocker
}

/// Guards against tasks that never start, or start with another spec, when the node whose front end
/// holds the job spec is killed. The owner's link is loaded, so the owner does not send the spec to
/// the relays but the address of that node, from which they fetch it.
///
/// The workers are full until the node is killed. Otherwise the jobs could run on the few workers
/// with room to which the owner sends orders itself, and no relay would have to fetch a spec.
#[tokio::test(flavor = "multi_thread")]
async fn origin_killed() {
    let mut world = World::with_settings(4, 23, |_| json!({ "link_mbps": 0.05 })).await;
    let start = Instant::now();
    while world.log("relay taken").is_empty() {
        assert!(start.elapsed() < Duration::from_secs(10), "no relay");
        sleep(Duration::from_millis(50)).await;
    }
    sleep(Duration::from_millis(1_500)).await;
    let owner = world.owner().expect("a node owns the cell");
    let front = (0..4).find(|n| *n != owner).expect("there are four");
    let wide = json!([{ "count": 9, "cpu": 8_000, "mem_mb": 100, "estimate_ms": 2_000 }]);
    let mut caller = world.caller(owner);
    let first = caller.submit("/a/", 1, &wide, "work_ms=2500").await;
    let blocker = fill_workers(&world, &mut caller, &first).await;
    let mut own = world.caller_of(front);
    let mut jobs = Vec::new();
    let mut specs = Vec::new();
    // A job that is stored in the intake does not count: the owner knows no node that has its spec.
    let mut handed_in = 0;
    for id in 10..16 {
        // Such long tasks also need the workers that become free last.
        let spec = format!("work_ms={:03000}", 1_000 + id);
        let job = own.submit("/a/", id, &wide, &spec).await;
        handed_in += usize::from(!world.platform.in_intake(&job.id));
        jobs.push(job);
        specs.push(spec);
        if handed_in == 4 {
            break;
        }
    }
    assert_eq!(handed_in, 4, "jobs that the owner accepted from the front");
    for job in &jobs {
        let starts = world.platform.ledger(|l| l.start_count(&job.id));
        assert_eq!(
            starts, 0,
            "{} started before the front was killed",
            job.path
        );
    }
    world.nodes[front].signal("KILL");
    caller.cancel(&blocker).await;
    assert_eq!(caller.wait(&blocker).await.as_deref(), Ok("cancelled"));
    for job in [&first].into_iter().chain(&jobs) {
        assert_eq!(caller.wait(job).await.as_deref(), Ok("complete"));
    }
    let missing = world.log("what a job runs did not come");
    let origin = world.nodes[front].peers.to_string();
    let digests: Vec<String> = specs
        .iter()
        .map(|s| SpecDigest::of(s).to_string())
        .collect();
    let named = |l: &Value| l["front"] == *origin && digests.iter().any(|d| l["digest"] == **d);
    assert!(missing.iter().any(named), "the front was not named");
    let (started, broken) = world
        .platform
        .ledger(|l| (l.specs.clone(), l.violations.clone()));
    for (job, spec) in jobs.iter().zip(&specs) {
        assert_eq!(started.get(&job.id), Some(spec));
    }
    assert_eq!(broken, Vec::<String>::new());
}
