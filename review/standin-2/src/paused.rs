//! Case: two jobs whose runs failed on a sick executor are not started again when it is well.

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

/// Workers of the service, as on the sheet, four a rack: the ninth is alone in its rack.
const WORKERS: usize = 9;

/// Cores of a worker, in thousandths.
const ROOM: u64 = 64_000;

/// Label of the ninth worker's rack.
const RACK: &str = "r1-2";

/// How long one worker fails all that it starts, 6.5 s on the site.
const SICK: Duration = Duration::from_millis(6_500);

/// Calm that the rule asks for: 4 s, and the 3 s in which nothing runs.
const CALM: Duration = Duration::from_millis(7_000);

fn body(name: &str, label: Option<&str>) -> Value {
    let mut step = json!({ "count": 1, "cpu": 2_000, "mem_mb": 1_000, "estimate_ms": 600 });
    if let Some(label) = label {
        step["required_label"] = json!(label);
    }
    json!({ "spec": format!("{name} work_ms=600"), "steps": [step] })
}

/// Whether a job has a run now, or is done.
fn at_work(ledger: &Ledger, id: &str) -> bool {
    let books = ledger.books();
    let mut units = books.units.iter().filter(|(t, _)| t.starts_with(id));
    units.any(|(_, u)| !u.live.is_empty() || !u.done.is_empty())
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
    let sick = workers.last()?.clone();
    let start = Instant::now();
    if trouble {
        ledger.line(format!("{} fails all that it starts", sick.id));
        sick.set(Trouble {
            fails: 1.0,
            ..Trouble::default()
        });
    }
    let jobs = ["5c0e7a21d94b0001", "5c0e7a21d94b0002"];
    for id in jobs {
        if submit(ledger, front, "/b/", id, &body(id, Some(RACK))).await != Some(200) {
            ledger.line("a job was not accepted");
            return None;
        }
    }
    sleep(SICK.saturating_sub(start.elapsed())).await;
    if trouble {
        sick.set(Trouble::default());
        ledger.line(format!("{} is well again", sick.id));
    }
    let well = Instant::now();
    let mut broken = false;
    while well.elapsed() < Duration::from_secs(30) {
        sleep(Duration::from_millis(1_000)).await;
        let waiting: Vec<&str> = jobs.into_iter().filter(|id| !at_work(ledger, id)).collect();
        if waiting.is_empty() {
            break;
        }
        let since = well.elapsed();
        let answer = ask(front, "GET", &format!("/b/{}", waiting[0])).await;
        ledger.line(format!(
            "{:.1} s of calm: nothing runs of {waiting:?}; GET -> {answer:?}; {} units on {}, none elsewhere: {}",
            since.as_secs_f64(),
            sick.busy(),
            sick.id,
            workers.iter().all(|w| w.busy() == 0),
        ));
        broken |= since > CALM;
    }
    if broken {
        ledger.fault(
            "LOST: in calm, for over 3 s the jobs have nothing running, their worker is well and \
             idle, and nothing of the service's capacity is in use",
        );
        // Shows what they wait for: any other job of the service.
        ledger.line("another job is handed in, without the label");
        submit(
            ledger,
            front,
            "/b/",
            "5c0e7a21d94b0003",
            &body("other", None),
        )
        .await;
        sleep(Duration::from_millis(2_000)).await;
        let woken = jobs.into_iter().all(|id| at_work(ledger, id));
        ledger.line(format!("the jobs have begun again now: {woken}"));
    }
    Some(broken)
}
