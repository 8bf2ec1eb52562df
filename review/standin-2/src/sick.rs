//! Case: an executor that was sick for some seconds takes one work unit and no more, for good.

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

/// Workers of the service, four a rack: the last is alone in its rack.
const WORKERS: usize = 13;

/// Cores of a worker, in thousandths.
const ROOM: u64 = 64_000;

/// Rack of the last worker, and its label.
const RACK: &str = "r1-3";

/// How long one worker fails all that it starts, 6.5 s on the site.
const SICK: Duration = Duration::from_millis(6_500);

/// Cores of every work unit here, in thousandths.
const UNIT: u64 = 2_000;

fn step(ms: u64) -> Value {
    json!({ "count": 1, "cpu": UNIT, "mem_mb": 1_000, "estimate_ms": ms })
}

fn has_begun(ledger: &Ledger, id: &str) -> bool {
    let books = ledger.books();
    let mut units = books.units.iter().filter(|(t, _)| t.starts_with(id));
    units.any(|(_, u)| u.starts > 0)
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
    let sick = workers.last()?.clone();
    let start = Instant::now();
    if trouble {
        ledger.line(format!("{} fails all that it starts", sick.id));
        sick.set(Trouble {
            fails: 1.0,
            ..Trouble::default()
        });
    }
    // Two jobs with their data near that worker; they end elsewhere.
    for id in ["5c0e7a21d94b0001", "5c0e7a21d94b0002"] {
        let mut near = step(600);
        near["affinity"] = json!(RACK);
        let body = json!({ "spec": format!("{id} work_ms=600"), "steps": [near] });
        if submit(ledger, front, "/a/", id, &body).await != Some(200) {
            return None;
        }
    }
    sleep(SICK.saturating_sub(start.elapsed())).await;
    if trouble {
        sick.set(Trouble::default());
        ledger.line(format!("{} is well again", sick.id));
    }
    // Calm.
    sleep(Duration::from_secs(8)).await;
    let lasts = "5c0e7a21d94b0003";
    let mut near = step(900);
    near["long_running"] = json!(true);
    near["affinity"] = json!(RACK);
    let body = json!({ "spec": "a unit that lasts", "steps": [near] });
    if submit(ledger, front, "/a/", lasts, &body).await != Some(200) {
        return None;
    }
    sleep(Duration::from_secs(2)).await;
    if sick.busy() != 1 {
        ledger.line("the unit that lasts is not on that worker");
        return None;
    }
    let last = "5c0e7a21d94b0004";
    let mut labelled = step(1_000);
    labelled["required_label"] = json!(RACK);
    let body = json!({ "spec": "last work_ms=1000", "steps": [labelled] });
    if submit(ledger, front, "/a/", last, &body).await != Some(200) {
        ledger.line("the last job was not accepted");
        return None;
    }
    let accepted = Instant::now();
    let mut broken = false;
    while accepted.elapsed() < Duration::from_secs(25) && !has_begun(ledger, last) {
        sleep(Duration::from_millis(1_000)).await;
        let answer = ask(front, "GET", &format!("/a/{last}")).await;
        let used: u64 = workers.iter().map(Worker::used).sum();
        let room = ROOM - sick.used() >= 2 * UNIT;
        let waits = !has_begun(ledger, last);
        ledger.line(format!(
            "{:.1} s after its ack the last job has {}; GET -> {answer:?}; {used} of {} are in use; \
             {} has room for two such units: {room}",
            accepted.elapsed().as_secs_f64(),
            if waits { "nothing running" } else { "begun" },
            WORKERS as u64 * ROOM,
            sick.id,
        ));
        let half = used * 2 < WORKERS as u64 * ROOM;
        broken |= waits && half && room && accepted.elapsed() > Duration::from_secs(3);
    }
    if broken {
        ledger.fault(format!(
            "LOST: for over 3 s job {last} has nothing running, {} has room for two such units, and \
             under half of the capacity is in use",
            sick.id,
        ));
    }
    ledger.line(format!(
        "the last job has begun: {}",
        has_begun(ledger, last)
    ));
    Some(broken)
}
