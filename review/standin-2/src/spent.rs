//! Case: an executor that was cut off for some seconds gets no work for good.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use cactuswheel_local::Platform;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::cloud;
use crate::explore::{ask, config, submit};
use crate::ledger::Ledger;
use crate::node::{Node, leader};
use crate::worker::{Gangs, Trouble, Worker};

/// Workers of the service, as on the sheet.
const WORKERS: usize = 9;

/// Cores of a worker, in thousandths.
const ROOM: u64 = 64_000;

/// How long one worker is cut off, 5.5 s on the site.
const CUT: Duration = Duration::from_millis(5_500);

/// A unit that leaves less than half of its worker: one on each of eight workers is in all less
/// than half of the service's capacity (8 x 33 of 9 x 64 cores).
const WIDE: u64 = 33_000;

/// A unit that fits twice on an idle worker, and not beside a wide one.
const HALF: u64 = 32_000;

fn step(count: u64, cpu: u64, ms: u64) -> Value {
    json!({ "count": count, "cpu": cpu, "mem_mb": 1_000, "estimate_ms": ms })
}

fn has_begun(ledger: &Ledger, id: &str) -> bool {
    let books = ledger.books();
    books
        .units
        .iter()
        .any(|(t, u)| t.starts_with(id) && u.starts > 0)
}

/// Plays the case. `None`: it could not run.
pub async fn play(program: PathBuf, folder: &Path, ledger: &Ledger, trouble: bool) -> Option<bool> {
    let platform = Platform::start([127, 0, 0, 1].into(), &[], 1).await.ok()?;
    let gangs = Gangs::default();
    let mut workers = Vec::new();
    for n in 0..WORKERS {
        let (id, rack) = (format!("i-{n}"), format!("r1-{}", n / 4));
        let store = platform.store_addr();
        let labels = ["a", rack.as_str()];
        let worker = Worker::start(
            &id,
            "main",
            &labels,
            ROOM,
            store,
            ledger.clone(),
            gangs.clone(),
        );
        workers.push(worker.await);
    }
    let instances = cloud::start(workers.clone()).await;
    platform.put("config", &config(1));
    let mut nodes = Vec::new();
    for n in 0..3 {
        let name = format!("front-{n}");
        let store = platform.store_addr();
        let mut node = Node::new(&name, folder, program.clone(), store, Some(instances));
        node.start();
        nodes.push(node);
    }
    let begun = Instant::now();
    while leader(&nodes).is_none() {
        if begun.elapsed() > Duration::from_secs(15) {
            ledger.line("no node took the cell over");
            return None;
        }
        sleep(Duration::from_millis(50)).await;
    }
    sleep(Duration::from_secs(5)).await;
    let front = nodes[0].callers;
    // A job of one unit; the worker that runs it is cut off while it does.
    let first = "5c0e7a21d94b0001";
    let body = json!({ "spec": "first work_ms=1500", "steps": [step(1, 2_000, 1_500)] });
    if submit(ledger, front, "/a/", first, &body).await != Some(200) {
        return None;
    }
    let begun = Instant::now();
    let busy = loop {
        if let Some(busy) = workers.iter().find(|w| w.busy() > 0) {
            break busy.clone();
        }
        if begun.elapsed() > Duration::from_secs(5) {
            ledger.line("the first job did not begin");
            return None;
        }
        sleep(Duration::from_millis(10)).await;
    };
    sleep(Duration::from_millis(300)).await;
    if trouble {
        ledger.line(format!("{} is cut off and runs on", busy.id));
        busy.set(Trouble {
            cut: true,
            ..Trouble::default()
        });
    }
    sleep(CUT).await;
    if trouble {
        busy.set(Trouble::default());
        ledger.line(format!("{} is in touch again", busy.id));
    }
    // Calm.
    sleep(Duration::from_secs(8)).await;
    let eight = "5c0e7a21d94b0002";
    let body = json!({ "spec": "eight work_ms=45000", "steps": [step(8, WIDE, 45_000)] });
    if submit(ledger, front, "/a/", eight, &body).await != Some(200) {
        return None;
    }
    let begun = Instant::now();
    while workers.iter().filter(|w| w.busy() > 0).count() < 8 {
        if begun.elapsed() > Duration::from_secs(10) {
            ledger.line("the eight units did not begin");
            return None;
        }
        sleep(Duration::from_millis(50)).await;
    }
    let idle: Vec<&str> = workers
        .iter()
        .filter(|w| w.busy() == 0)
        .map(|w| w.id.as_str())
        .collect();
    ledger.line(format!(
        "eight workers have a unit of {WIDE} each; idle: {idle:?}"
    ));
    let last = "5c0e7a21d94b0003";
    let body = json!({ "spec": "last work_ms=1000", "steps": [step(1, HALF, 1_000)] });
    let answer = submit(ledger, front, "/a/", last, &body).await;
    if answer != Some(200) {
        ledger.line("the last job was not accepted");
        return None;
    }
    let accepted = Instant::now();
    let mut broken = false;
    while accepted.elapsed() < Duration::from_secs(25) && !has_begun(ledger, last) {
        sleep(Duration::from_millis(1_000)).await;
        let answer = ask(front, "GET", &format!("/a/{last}")).await;
        let eight = workers.iter().filter(|w| w.busy() > 0).count();
        let waited = accepted.elapsed().as_secs_f64();
        let waits = !has_begun(ledger, last);
        ledger.line(format!(
            "{waited:.1} s after its ack the last job has {}; GET -> {answer:?}; {eight} workers are in use",
            if waits { "nothing running" } else { "begun" },
        ));
        let half = eight as u64 * WIDE * 2 < WORKERS as u64 * ROOM;
        if waits && half && accepted.elapsed() > Duration::from_secs(3) {
            broken = true;
        }
    }
    if broken {
        ledger.fault(format!(
            "LOST: for over 3 s job {last} has nothing running, {idle:?} is idle with room for two \
             such units, and {} of {} are in use",
            8 * WIDE,
            WORKERS as u64 * ROOM,
        ));
    }
    ledger.line(format!(
        "the last job has begun: {}",
        has_begun(ledger, last)
    ));
    Some(broken)
}
