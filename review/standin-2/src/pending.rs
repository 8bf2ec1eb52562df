//! Case: after the leader is killed, a queue's `pending` leaves out jobs that have never begun.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use cactuswheel_local::Platform;
use serde_json::json;
use tokio::time::sleep;

use crate::cloud;
use crate::explore::{ask, config, submit};
use crate::ledger::Ledger;
use crate::node::{Node, leader};
use crate::worker::{Gangs, Worker};

/// Workers of the service, as on the sheet, four a rack.
const WORKERS: usize = 9;

/// Workers of the rack that goes dark.
const DARK_WORKERS: usize = 4;

/// Label of that rack.
const RACK: &str = "r1-0";

/// Jobs that are handed in.
const JOBS: u64 = 12;

/// `visible_ms` + 2 s.
const VISIBLE: Duration = Duration::from_millis(5_000);

/// How long the rack is dark, 7.6 s at most on the site.
const DARK: Duration = Duration::from_millis(7_500);

/// Plays the case. `None`: it could not run.
pub async fn play(program: PathBuf, folder: &Path, ledger: &Ledger, trouble: bool) -> Option<bool> {
    let platform = Platform::start([127, 0, 0, 1].into(), &[], 1).await.ok()?;
    let gangs = Gangs::default();
    let mut workers = Vec::new();
    for n in 0..WORKERS {
        let (id, rack) = (format!("i-{n}"), format!("r1-{}", n / DARK_WORKERS));
        let (store, labels) = (platform.store_addr(), ["a", rack.as_str()]);
        let worker = Worker::start(
            &id,
            "main",
            &labels,
            64_000,
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
    let owner = loop {
        if let Some(owner) = leader(&nodes) {
            break owner;
        }
        if begun.elapsed() > Duration::from_secs(15) {
            ledger.line("no node took the cell over");
            return None;
        }
        sleep(Duration::from_millis(50)).await;
    };
    ledger.line(format!("{} leads", nodes[owner].name));
    sleep(Duration::from_secs(5)).await;
    let witness = nodes[(owner + 1) % 3].callers;
    ledger.line(format!(
        "{} is asked; nothing is done to it",
        nodes[(owner + 1) % 3].name
    ));
    let start = Instant::now();
    if trouble {
        ledger.line("the rack goes dark");
        for worker in workers.iter().take(DARK_WORKERS) {
            worker.crash(true);
        }
    }
    sleep(Duration::from_millis(100)).await;
    let mut sends = Vec::new();
    for n in 0..JOBS {
        let ledger = ledger.clone();
        sends.push(tokio::spawn(async move {
            let step = json!({ "count": 1, "cpu": 2_000, "mem_mb": 1_000, "estimate_ms": 600,
                               "required_label": RACK });
            let body = json!({ "spec": format!("job {n} work_ms=600"), "steps": [step] });
            let id = format!("5c0e7a21d94b{n:04x}");
            submit(&ledger, witness, "/a/", &id, &body).await
        }));
    }
    for send in sends {
        let _ = send.await;
    }
    let accepted = ledger
        .books()
        .jobs
        .values()
        .filter(|j| j.accepted.is_some())
        .count();
    ledger.line(format!("{accepted} jobs were accepted"));
    if accepted < JOBS as usize {
        ledger.line("not all jobs were accepted: the case cannot run");
        return None;
    }
    if trouble {
        sleep(Duration::from_millis(1_000)).await;
        ledger.line(format!("SIGKILL of {}", nodes[owner].name));
        nodes[owner].signal("KILL");
        sleep(Duration::from_millis(1_000)).await;
        let _ = nodes[owner].ended();
        nodes[owner].start();
        ledger.line(format!("{} is started again", nodes[owner].name));
    }
    let mut back = false;
    let mut broken = false;
    while start.elapsed() < Duration::from_secs(25) {
        if trouble && !back && start.elapsed() >= DARK {
            back = true;
            for worker in workers.iter().take(DARK_WORKERS) {
                worker.reboot().await;
            }
        }
        let asked = Instant::now();
        let answer = ask(witness, "GET", "/a/").await;
        let waiting = {
            let books = ledger.books();
            let jobs = books.jobs.iter().filter(|(id, job)| {
                let old = job
                    .accepted
                    .is_some_and(|at| asked.duration_since(at) > VISIBLE);
                let begun = books
                    .units
                    .iter()
                    .any(|(t, u)| t.starts_with(id.as_str()) && u.starts > 0);
                old && !begun
            });
            jobs.count() as u64
        };
        let pending = match &answer {
            Some((200, body)) => body["pending"].as_u64(),
            _ => None,
        };
        ledger.line(format!(
            "GET /a/ -> {answer:?}; {waiting} jobs were accepted over 5 s before and have not begun"
        ));
        if let Some(pending) = pending
            && pending * 2 < waiting
        {
            broken = true;
            ledger.fault(format!(
                "MIXED: pending is {pending}, {waiting} jobs have not begun"
            ));
        }
        let open = {
            let books = ledger.books();
            let done = books.units.values().filter(|u| !u.done.is_empty()).count();
            done < JOBS as usize
        };
        if !open {
            break;
        }
        sleep(Duration::from_millis(250)).await;
    }
    let started = ledger
        .books()
        .units
        .values()
        .filter(|u| u.starts > 0)
        .count();
    ledger.line(format!("{started} of {JOBS} jobs have begun in the end"));
    Some(broken)
}
