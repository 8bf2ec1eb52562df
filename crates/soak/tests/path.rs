//! End-to-end tests with real node processes, from a caller's request to the workers.

use std::time::{Duration, Instant};

use cactuswheel_http::Call;
use cactuswheel_soak::World;
use serde_json::json;
use tokio::time::sleep;

const STEPS: &str = r#"[{"count":3,"cpu":2000,"mem_mb":100,"estimate_ms":200},
    {"count":1,"cpu":2000,"mem_mb":100,"estimate_ms":200,"after":[0]}]"#;

fn steps() -> serde_json::Value {
    serde_json::from_str(STEPS).expect("STEPS is valid JSON")
}

/// A job is submitted to one node, its state is polled at all nodes in turn, and its completion is
/// logged. An unknown job gets 410, a path outside all queues 404, and the owner serves metrics.
#[tokio::test(flavor = "multi_thread")]
async fn job_done() {
    let world = World::start(3, 1).await;
    let mut caller = world.caller(0);
    let job = caller.submit("/a/", 7, &steps(), "work_ms=150").await;
    assert_eq!(caller.wait(&job).await.as_deref(), Ok("complete"));
    assert_eq!(world.platform.ledger(|l| l.start_count(&job.id)), 4);
    let matches = world.log("job complete");
    assert!(
        matches.iter().any(|l| l["job"] == job.id.as_str()),
        "{matches:?}"
    );
    let unknown = caller.job_status("/a/00000000000000ff").await;
    assert_eq!(unknown.map(|(status, _)| status), Some(410));
    let nowhere = caller.job_status("/z/00000000000000ff").await;
    assert_eq!(nowhere.map(|(status, _)| status), Some(404));
    let owner = world.owner().expect("a node owns the cell");
    let metrics = Call::get(world.nodes[owner].metrics, "/metrics")
        .send()
        .await;
    let metrics = String::from_utf8(metrics.expect("metrics are served").body.to_vec());
    let metrics = metrics.expect("metrics are text");
    assert!(
        metrics.contains("cactuswheel_node_journal_seconds"),
        "{metrics}"
    );
    assert!(
        metrics.contains("cactuswheel_node_owner_epoch"),
        "{metrics}"
    );
}

/// The owner is killed while jobs are running. The next owner rebuilds the cell from the store
/// alone; no job is lost and no task runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed() {
    let mut world = World::start(3, 2).await;
    let mut caller = world.caller(1);
    let mut jobs = Vec::new();
    for id in 0..4 {
        jobs.push(caller.submit("/a/", id, &steps(), "work_ms=700").await);
    }
    let owner = world.owner().expect("a node owns the cell");
    world.nodes[owner].signal("KILL");
    for job in &jobs {
        assert_eq!(caller.wait(job).await.as_deref(), Ok("complete"));
    }
    assert_ne!(world.owner(), Some(owner));
    assert_eq!(
        world.platform.ledger(|l| l.violations.clone()),
        Vec::<String>::new()
    );
}

/// Guards against a task that crashes each worker it runs on, again and again, and terminates the
/// other tasks there. Its job fails after a few starts, also across a takeover, and other jobs
/// complete.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_work() {
    let mut world = World::start(3, 6).await;
    let mut caller = world.caller(0);
    let crashing = caller.submit("/a/", 1, &steps(), "crash_ms=10").await;
    let mut others = Vec::new();
    for id in 2..8 {
        others.push(caller.submit("/a/", id, &steps(), "work_ms=300").await);
    }
    sleep(Duration::from_secs(2)).await;
    let owner = world.owner().expect("a node owns the cell");
    world.nodes[owner].signal("KILL");
    assert_eq!(caller.wait(&crashing).await.as_deref(), Ok("failed"));
    for job in &others {
        assert_eq!(caller.wait(job).await.as_deref(), Ok("complete"));
    }
    let task = format!("{}.0.0.0", crashing.id);
    let starts = world.platform.ledger(|l| l.starts[&task]);
    let lost = world.log("run lost");
    assert!(starts <= 5, "{starts} starts: {lost:#?}");
    let matches = world.log("job given up: it takes its workers down");
    assert!(
        matches.iter().any(|l| l["task"] == task.as_str()),
        "{matches:?}"
    );
}

/// On a planned stop, the owner releases the ownership and exits within its grace period. Callers
/// should be served by the other node within a second; the check allows 4 s for a whole job.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop() {
    let mut world = World::start(2, 3).await;
    let owner = world.owner().expect("a node owns the cell");
    world.nodes[owner].signal("TERM");
    let start = Instant::now();
    let mut caller = world.caller(owner);
    let job = caller.submit("/b/", 9, &steps(), "work_ms=100").await;
    assert_eq!(caller.wait(&job).await.as_deref(), Ok("complete"));
    assert!(
        start.elapsed() < Duration::from_secs(4),
        "{:?}",
        start.elapsed()
    );
    while world.nodes[owner].is_running() {
        assert!(
            start.elapsed() < Duration::from_secs(6),
            "the stopped owner did not exit within 6 s"
        );
        sleep(Duration::from_millis(50)).await;
    }
    assert!(!world.nodes[owner].has_failed());
    assert_eq!(world.nodes[owner].log("ownership released").len(), 1);
}

/// A maintenance wave reaches every instance while jobs keep running.
#[tokio::test(flavor = "multi_thread")]
async fn wave_done() {
    let world = World::start(2, 4).await;
    world.start_wave(2);
    let mut caller = world.caller(0);
    let start = Instant::now();
    let mut id = 100;
    loop {
        id += 1;
        let job = caller.submit("/a/", id, &steps(), "work_ms=100").await;
        assert_eq!(caller.wait(&job).await.as_deref(), Ok("complete"));
        let progress = world.platform.status("wave/1");
        if progress == Some(json!({ "state": "complete" })) {
            break;
        }
        assert!(start.elapsed() < Duration::from_secs(40), "{progress:?}");
    }
    assert_eq!(world.log("instance maintained").len(), 7);
}

/// Guards against starts in an evacuated data centre, and against a data centre that stays
/// evacuated because the record that ends the evacuation was compacted away before the owner read
/// it.
#[tokio::test(flavor = "multi_thread")]
async fn evacuated_and_back() {
    let world = World::start(2, 5).await;
    world.platform.put("evacuate/local", &json!({}));
    let changed = |times: usize| {
        let world = &world;
        async move {
            let start = Instant::now();
            while world.log("evacuated data centres changed").len() < times {
                assert!(
                    start.elapsed() < Duration::from_secs(3),
                    "change {times} was not logged within 3 s"
                );
                sleep(Duration::from_millis(20)).await;
            }
        }
    };
    changed(1).await;
    let mut caller = world.caller(0);
    let job = caller.submit("/a/", 11, &steps(), "work_ms=100").await;
    sleep(Duration::from_millis(700)).await;
    assert_eq!(world.platform.ledger(|l| l.start_count(&job.id)), 0);
    world.platform.remove("evacuate/local");
    world.platform.compact();
    changed(2).await;
    assert_eq!(caller.wait(&job).await.as_deref(), Ok("complete"));
}

/// Invalid settings make the program exit with a numbered error that names the invalid field.
#[test]
fn bad_settings() {
    let path = std::env::temp_dir().join(format!("bad-{}.json", std::process::id()));
    std::fs::write(&path, r#"{"node": "n", "zone": 7}"#).expect("a file can be written");
    let args = [
        "--node",
        "--check",
        "--settings",
        path.to_str().expect("the path is UTF-8"),
    ];
    let output = cactuswheel_e2e::Process::output("cactuswheeld", &args);
    std::fs::remove_file(&path).expect("the settings file exists");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(
        text.contains("error 501") && text.contains("zone"),
        "{text}"
    );
}
