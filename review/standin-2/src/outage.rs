//! Case: a job whose first step ends while the store is down is not continued when it is back.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use cactuswheel_local::{Faults, Platform};
use serde_json::json;
use tokio::time::sleep;

use crate::cloud;
use crate::explore::{ask, config, submit};
use crate::ledger::Ledger;
use crate::node::{Node, leader};
use crate::worker::{Gangs, Worker};

/// Workers of the service, as on the sheet, four a rack.
const WORKERS: usize = 9;

/// Cores of a worker, in thousandths.
const ROOM: u64 = 64_000;

/// How long the store answers every call with 503, 6.8 s at most on the site.
const DOWN: Duration = Duration::from_millis(3_000);

/// Calm that the rule asks for: 4 s, and the 3 s in which nothing runs.
const CALM: Duration = Duration::from_millis(7_000);

/// How long the job is watched after the store is back.
const WATCHED: Duration = Duration::from_millis(30_000);

const JOB: &str = "5c0e7a21d94b0001";
const OTHER: &str = "5c0e7a21d94b0002";

/// Whether a work unit of the job runs now.
fn at_work(ledger: &Ledger) -> bool {
    let books = ledger.books();
    let mut units = books.units.iter().filter(|(t, _)| t.starts_with(JOB));
    units.any(|(_, u)| !u.live.is_empty())
}

fn is_done(ledger: &Ledger, unit: &str) -> bool {
    let books = ledger.books();
    books.units.get(unit).is_some_and(|u| !u.done.is_empty())
}

/// Plays the case. `None`: it could not run.
pub async fn play(program: PathBuf, folder: &Path, ledger: &Ledger, trouble: bool) -> Option<bool> {
    let platform = Platform::start([127, 0, 0, 1].into(), &[], 1).await.ok()?;
    let gangs = Gangs::default();
    let mut workers = Vec::new();
    for n in 0..WORKERS {
        let (id, rack) = (format!("i-{n}"), format!("r1-{}", n / 4));
        let (store, labels) = (platform.store_addr(), ["a", rack.as_str()]);
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
        let (name, store) = (format!("front-{n}"), platform.store_addr());
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
    let step = json!({ "count": 1, "cpu": 2_000, "mem_mb": 1_000, "estimate_ms": 1_000 });
    let mut next = step.clone();
    next["after"] = json!([0]);
    let body = json!({ "spec": "two steps work_ms=1000", "steps": [step, next] });
    if submit(ledger, front, "/a/", JOB, &body).await != Some(200) {
        ledger.line("the job was not accepted");
        return None;
    }
    sleep(Duration::from_millis(300)).await;
    if trouble {
        ledger.line("the store is down: 503 to every call");
        platform.set_faults(Faults {
            store_down: true,
            ..Faults::default()
        });
    }
    sleep(DOWN).await;
    platform.set_faults(Faults::default());
    ledger.line("the store is up");
    if !is_done(ledger, &format!("{JOB}.0.0.0")) {
        ledger.line("the first step has not ended");
        return None;
    }
    let up = Instant::now();
    let mut broken = false;
    while up.elapsed() < WATCHED && !is_done(ledger, &format!("{JOB}.0.1.0")) {
        sleep(Duration::from_millis(1_000)).await;
        let answer = ask(front, "GET", &format!("/a/{JOB}")).await;
        let waits = !at_work(ledger) && !is_done(ledger, &format!("{JOB}.0.1.0"));
        let busy: usize = workers.iter().map(Worker::busy).sum();
        ledger.line(format!(
            "{:.1} s after the store is up: {}; {busy} units on all {WORKERS} workers; GET -> {answer:?}",
            up.elapsed().as_secs_f64(),
            if waits { "nothing of the job runs, and its second step's turn has come" } else { "the job goes on" },
        ));
        broken |= waits && up.elapsed() > CALM;
    }
    if broken {
        ledger.fault(
            "LOST: in calm, for over 3 s the job has nothing running while the turn of its second \
             step has come, and all workers of its service are idle",
        );
        // Shows what the job waits for: any other event of the service.
        ledger.line("another job is handed in");
        let step = json!({ "count": 1, "cpu": 2_000, "mem_mb": 1_000, "estimate_ms": 300 });
        let body = json!({ "spec": "other work_ms=300", "steps": [step] });
        submit(ledger, front, "/a/", OTHER, &body).await;
        sleep(Duration::from_millis(500)).await;
        ledger.line(format!(
            "the first job's second step runs now: {}",
            at_work(ledger)
        ));
    }
    Some(broken)
}
