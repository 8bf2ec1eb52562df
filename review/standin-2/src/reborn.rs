//! Case: an executor starts again under its id with a new clock, and is granted too long a lease.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use cactuswheel_local::Platform;
use rand::Rng;
use serde_json::json;
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

/// Rack of the ninth worker.
const RACK: &str = "r1-2";

/// How long the worker is cut off while it starts again, 5.5 s at most on the site.
const FIRST_CUT: Duration = Duration::from_millis(1_000);

/// How long it is cut off later, 5.5 s at most on the site.
const SECOND_CUT: Duration = Duration::from_millis(5_500);

const JOB: &str = "5c0e7a21d94b0001";

fn cut(worker: &Worker, cut: bool) {
    worker.set(Trouble {
        cut,
        ..Trouble::default()
    });
}

/// Waits until `found`, at most `limit`.
async fn wait_for(limit: Duration, found: impl Fn() -> bool) -> bool {
    let begun = Instant::now();
    while !found() {
        if begun.elapsed() > limit {
            return false;
        }
        sleep(Duration::from_millis(10)).await;
    }
    true
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
    let led = wait_for(Duration::from_secs(15), || leader(&nodes).is_some()).await;
    if !led {
        ledger.line("no node took the cell over");
        return None;
    }
    sleep(Duration::from_secs(5)).await;
    let front = nodes[0].callers;
    let worker = workers.last()?.clone();
    if trouble {
        // An idle worker is polled every 2 s; the cut begins soon after a poll came. `ANY_TIME=1`
        // lets it begin at any time: the rule then breaks only if no poll fails before the job.
        if std::env::var("ANY_TIME").is_err() {
            let holds = worker.holds();
            wait_for(Duration::from_secs(5), || worker.holds() > holds).await;
            sleep(Duration::from_millis(50)).await;
        } else {
            sleep(Duration::from_millis(rand::rng().random_range(0..2_000))).await;
        }
        ledger.line(format!(
            "{} is cut off, and starts again behind the cut",
            worker.id
        ));
        cut(&worker, true);
        worker.crash(true);
        worker.reboot().await;
        cut(&worker, true);
        sleep(FIRST_CUT).await;
        cut(&worker, false);
        ledger.line(format!("{} is in touch again", worker.id));
    }
    let holds = worker.holds();
    let step = json!({
        "count": 1, "cpu": 2_000, "mem_mb": 1_000, "estimate_ms": 900,
        "long_running": true, "affinity": RACK,
    });
    let body = json!({ "spec": "a unit that lasts", "steps": [step] });
    if submit(ledger, front, "/a/", JOB, &body).await != Some(200) {
        ledger.line("the job was not accepted");
        return None;
    }
    if !wait_for(Duration::from_secs(4), || worker.busy() > 0).await {
        ledger.line("the job did not begin on that worker");
        return None;
    }
    wait_for(Duration::from_secs(4), || worker.holds() >= holds + 2).await;
    sleep(Duration::from_millis(200)).await;
    ledger.line(format!(
        "{} ms are left of the lease on {}",
        worker.lease_left(),
        worker.id
    ));
    if trouble {
        ledger.line(format!("{} is cut off and runs on", worker.id));
        cut(&worker, true);
    }
    sleep(SECOND_CUT).await;
    if trouble {
        cut(&worker, false);
        ledger.line(format!("{} is in touch again", worker.id));
    }
    sleep(Duration::from_secs(3)).await;
    let broken = ledger.books().faults.iter().any(|f| f.contains("TWICE"));
    let answer = ask(front, "DELETE", &format!("/a/{JOB}")).await;
    ledger.line(format!("DELETE -> {answer:?}"));
    Some(broken)
}
