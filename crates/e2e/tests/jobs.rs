//! Jobs on workers, driven by callers through entries as separate processes.

use std::time::Duration;

use cactuswheel_e2e::{Fleet, TEAM_KEY};
use cactuswheel_http::Call;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(20);

/// A fleet whose team may have `jobs` placed at once.
async fn start(workers: usize, entries: usize, jobs: u32) -> Fleet {
    let fleet = Fleet::start(workers, entries);
    let mut ticket = fleet.first_ticket(100);
    ticket["changes"][4]["team"]["jobs"] = json!(jobs);
    let (status, text) = fleet.apply(0, &ticket);
    assert_eq!(status, Some(0), "{text}");
    fleet.settle(workers).await;
    fleet
}

fn job(name: &str, script: Value, retry: &str) -> Value {
    json!({"name": name, "pool": "render", "room": {"cores": 16, "memory": 1000},
        "retry": retry, "payload": script.to_string()})
}

async fn submit(fleet: &Fleet, entry: usize, job: &Value) -> Value {
    let call = Call::post(fleet.callers[entry], "/jobs").with_key(TEAM_KEY);
    call.with_json(job)
        .unwrap()
        .send()
        .await
        .unwrap()
        .json()
        .unwrap()
}

async fn show(fleet: &Fleet, entry: usize, name: &str) -> Value {
    let call = Call::get(fleet.callers[entry], format!("/jobs/{name}")).with_key(TEAM_KEY);
    call.send().await.unwrap().json().unwrap()
}

async fn wait(fleet: &Fleet, entry: usize, name: &str, phase: &str) -> Value {
    let until = Instant::now() + LIMIT;
    loop {
        let job = show(fleet, entry, name).await;
        if job["phase"] == phase {
            return job;
        }
        assert!(Instant::now() < until, "{name} stays at {job}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// The worker comes up again with a later life.
async fn reboot(fleet: &Fleet, worker: &str, incarnation: u64) {
    let n: usize = worker[1..].parse().unwrap();
    let sighting = json!({"id": worker, "incarnation": incarnation,
        "addr": fleet.upstream_addrs[n - 1], "presence": "live"});
    let call = Call::post(fleet.platform_addr, "/roster")
        .with_json(&sighting)
        .unwrap();
    call.send().await.unwrap();
}

#[tokio::test]
async fn run_through() {
    let fleet = start(2, 2, 4).await;
    for i in 0..6 {
        let taken = submit(
            &fleet,
            i % 2,
            &job(&format!("j{i}"), json!({"run": 200}), "never"),
        )
        .await;
        assert_eq!(taken["phase"], "queued", "{taken}");
    }
    for i in 0..6 {
        let done = wait(&fleet, (i + 1) % 2, &format!("j{i}"), "done").await;
        assert_eq!(done["attempt"], 1);
    }
}

#[tokio::test]
async fn repeated_submission() {
    // The answer to a submission is lost, so the submitter sends it again, to the other entry.
    // It is told of the same job; another description under the name is refused.
    let fleet = start(1, 2, 4).await;
    let first = job("reel", json!({"run": 300}), "never");
    submit(&fleet, 0, &first).await;
    let again = submit(&fleet, 1, &first).await;
    assert_eq!(again["job"], "ads/reel");
    let other = submit(&fleet, 1, &job("reel", json!({"run": 1}), "never")).await;
    assert_eq!(other["code"], 701);
    assert_eq!(wait(&fleet, 0, "reel", "done").await["attempt"], 1);
}

#[tokio::test]
async fn all_replaced() {
    // Both entries are killed while a job runs, and one comes up with nothing in memory. It
    // still tells the job's state, takes the worker's report over, and never runs it twice.
    let mut fleet = start(1, 2, 4).await;
    submit(&fleet, 0, &job("long", json!({"run": 2500}), "never")).await;
    wait(&fleet, 0, "long", "placed").await;
    fleet.entries.clear();
    fleet.add_entry();
    fleet
        .wait_status(fleet.admins[2], |s| s["ready"] == true)
        .await;
    assert_eq!(show(&fleet, 2, "long").await["phase"], "placed");
    assert_eq!(wait(&fleet, 2, "long", "done").await["attempt"], 1);
}

#[tokio::test]
async fn worker_lost() {
    // A worker reboots under two jobs. The one that may not be repeated ends as unknown and
    // stays there; the idempotent one runs again.
    let fleet = start(1, 1, 4).await;
    submit(&fleet, 0, &job("once", json!({"run": 600_000}), "never")).await;
    submit(&fleet, 0, &job("again", json!({"run": 3_000}), "restart")).await;
    wait(&fleet, 0, "once", "placed").await;
    wait(&fleet, 0, "again", "placed").await;
    reboot(&fleet, "w1", 2).await;
    let unknown = wait(&fleet, 0, "once", "unknown").await;
    assert_eq!(unknown["attempt"], 1);
    assert_eq!(wait(&fleet, 0, "again", "done").await["attempt"], 2);
    assert_eq!(show(&fleet, 0, "once").await["phase"], "unknown");
}

#[tokio::test]
async fn cancelled_wave() {
    let fleet = start(1, 1, 2).await;
    let names: Vec<String> = (0..10).map(|i| format!("j{i}")).collect();
    for name in &names {
        submit(&fleet, 0, &job(name, json!({"run": 600_000}), "restart")).await;
    }
    wait(&fleet, 0, "j0", "placed").await;
    let call = Call::post(fleet.callers[0], "/jobs/cancel").with_key(TEAM_KEY);
    let call = call.with_json(&json!({"names": names})).unwrap();
    let done: Vec<Value> = call.send().await.unwrap().json().unwrap();
    assert!(done.iter().all(|d| d["code"] == 0), "{done:?}");
    for name in &names {
        wait(&fleet, 0, name, "cancelled").await;
    }
}

#[tokio::test]
async fn broken_worker() {
    // One of two workers fails whatever it starts, and is free again at once. Idempotent jobs
    // end on the other one; none of them fails for good.
    let fleet = start(2, 1, 8).await;
    let call = Call::post(fleet.platform_addr, "/tasks/break");
    call.with_json(&"w1").unwrap().send().await.unwrap();
    for i in 0..8 {
        submit(
            &fleet,
            0,
            &job(&format!("j{i}"), json!({"run": 100}), "restart"),
        )
        .await;
    }
    for i in 0..8 {
        wait(&fleet, 0, &format!("j{i}"), "done").await;
    }
}

#[tokio::test]
async fn urgent_start() {
    // The only worker is full of a long job with checkpoints when an urgent job comes. The
    // long one is stopped, the urgent one starts within 8 s, the long one then runs on.
    let fleet = start(1, 1, 8).await;
    let mut long = job("long", json!({"run": 4_000, "checkpoint": true}), "resume");
    long["room"]["cores"] = json!(64);
    submit(&fleet, 0, &long).await;
    wait(&fleet, 0, "long", "placed").await;
    let mut urgent = job("now", json!({"run": 100}), "never");
    urgent["urgent"] = json!(true);
    let from = Instant::now();
    submit(&fleet, 0, &urgent).await;
    wait(&fleet, 0, "now", "done").await;
    assert!(from.elapsed() < Duration::from_secs(8));
    let long = wait(&fleet, 0, "long", "done").await;
    assert_eq!(long["checkpoint"], "after attempt 1");
}

#[tokio::test]
async fn other_team() {
    let fleet = start(1, 1, 2).await;
    submit(&fleet, 0, &job("mine", json!({"run": 1}), "never")).await;
    let call = Call::get(fleet.callers[0], "/jobs/mine").with_key("wrong");
    assert_eq!(
        call.send().await.unwrap().json::<Value>().unwrap()["code"],
        102
    );
}
