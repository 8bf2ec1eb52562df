//! Drawn histories with gangs, timed jobs, labels, checkpoints and faults: looks for broken rules.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cactuswheel_local::{Faults, Platform};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::http::call;
use crate::ledger::{Job, Ledger};
use crate::node::{Node, leader};
use crate::worker::{Gangs, Trouble, Worker};

pub fn wall() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

pub fn config(version: u64) -> Value {
    let route = |name: &str, prefix: &str, service: &str, priority: u32| {
        json!({
            "name": name, "host": "desk.example", "path_prefix": prefix, "type": "unsafe",
            "timeout_ms": 3000, "target_latency_ms": 60000, "priority": priority,
            "service": service, "max_attempts": 4, "stretch": 10.0, "public": true,
        })
    };
    let service = |name: &str| {
        json!({
            "name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1",
            "tls": false, "admission_control": true, "spare": false,
        })
    };
    json!({
        "version": version,
        "routes": [route("a", "/a/", "main", 0), route("b", "/b/", "main", 1)],
        "services": [service("main")],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 262144,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [],
    })
}

pub async fn submit(
    ledger: &Ledger,
    at: SocketAddr,
    prefix: &str,
    id: &str,
    body: &Value,
) -> Option<u16> {
    ledger.books().jobs.entry(id.into()).or_insert_with(|| Job {
        body: body.clone(),
        accepted: None,
        cancel_sent: None,
        cancelled: None,
    });
    let path = format!("{prefix}{id}");
    let headers = [
        ("host", "desk.example"),
        ("content-type", "application/json"),
        ("deadline-ms", "3000"),
    ];
    let body = body.to_string().into_bytes();
    let answer = call(
        at,
        "POST",
        &path,
        &headers,
        body,
        Duration::from_millis(3_000),
    )
    .await;
    let status = answer.map(|a| a.0);
    ledger.line(format!("POST {path} -> {status:?}"));
    let mut books = ledger.books();
    let job = books.jobs.get_mut(id)?;
    match status {
        Some(s) if s / 100 == 2 => {
            job.accepted.get_or_insert_with(Instant::now);
        }
        _ => {}
    }
    status
}

pub async fn ask(at: SocketAddr, method: &str, path: &str) -> Option<(u16, Value)> {
    let headers = [("host", "desk.example"), ("deadline-ms", "3000")];
    let (status, body) = call(
        at,
        method,
        path,
        &headers,
        Vec::new(),
        Duration::from_millis(3_000),
    )
    .await?;
    Some((status, serde_json::from_slice(&body).unwrap_or_default()))
}

fn draw_job(rng: &mut StdRng) -> Value {
    let kind = rng.random_range(0..10);
    let ms = rng.random_range(200..2_500);
    let spec = format!("n={} work_ms={ms}", rng.random::<u32>());
    let cpu = rng.random_range(500..4_000);
    let count = rng.random_range(1..7);
    let base = |count: u32| json!({ "count": count, "cpu": cpu, "mem_mb": 100, "estimate_ms": ms });
    match kind {
        0..=3 => {
            let mut step = base(count);
            step["gang"] = json!(true);
            step["checkpointable"] = json!(rng.random_bool(0.6));
            if rng.random_bool(0.3) {
                step["max_per_server"] = json!(2);
            }
            let mut next = base(1);
            next["after"] = json!([0]);
            json!({ "spec": spec, "steps": [step, next] })
        }
        4..=5 => {
            let mut step = base(count);
            step["gang"] = json!(rng.random_bool(0.4));
            let begin = wall() + rng.random_range(500..3_000);
            json!({ "spec": spec, "steps": [step], "begin_ms": begin,
                    "interval_ms": rng.random_range(300..3_000), "times": rng.random_range(1..5) })
        }
        6 => {
            let mut step = base(count);
            step["required_label"] = json!("b");
            step["checkpointable"] = json!(true);
            json!({ "spec": spec, "steps": [step] })
        }
        7 => {
            let mut step = base(rng.random_range(1..4));
            step["long_running"] = json!(true);
            step["max_per_server"] = json!(1);
            step["may_miss"] = json!(1);
            json!({ "spec": spec, "steps": [step] })
        }
        _ => {
            let mut second = base(count);
            second["after"] = json!([0]);
            second["checkpointable"] = json!(true);
            json!({ "spec": spec, "steps": [base(2), second] })
        }
    }
}

/// Plays one history. Returns the broken rules.
pub async fn explore(seed: u64, program: PathBuf, folder: &Path, trouble: bool) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let ledger = Ledger::new();
    let platform = Platform::start([127, 0, 0, 1].into(), &[], seed)
        .await
        .expect("a platform");
    let gangs: Gangs = Gangs::default();
    let mut workers = Vec::new();
    for n in 0..8 {
        let label = if n % 3 == 0 { "b" } else { "a" };
        let rack = format!("r{}", n / 4);
        let id = format!("i-{n}");
        let labels = [label, rack.as_str()];
        let worker = Worker::start(
            &id,
            "main",
            &labels,
            16_000,
            platform.store_addr(),
            ledger.clone(),
            gangs.clone(),
        );
        workers.push(worker.await);
    }
    platform.put("config", &config(1));
    let mut nodes = Vec::new();
    for n in 0..3 {
        let mut node = Node::new(
            &format!("n{n}"),
            folder,
            program.clone(),
            platform.store_addr(),
            None,
        );
        node.start();
        nodes.push(node);
    }
    let begun = Instant::now();
    while leader(&nodes).is_none() {
        if begun.elapsed() > Duration::from_secs(15) {
            return vec!["no owner".into()];
        }
        sleep(Duration::from_millis(50)).await;
    }
    sleep(Duration::from_millis(1_500)).await;
    let callers: Arc<Vec<SocketAddr>> = Arc::new(nodes.iter().map(|n| n.callers).collect());
    // Callers.
    let mut tasks = Vec::new();
    for c in 0..4 {
        let (ledger, callers, seed) = (ledger.clone(), callers.clone(), seed * 31 + c);
        tasks.push(tokio::spawn(async move {
            let mut rng = StdRng::seed_from_u64(seed);
            let until = Instant::now() + Duration::from_secs(25);
            while Instant::now() < until {
                let id = format!("{:016x}", rng.random::<u64>());
                let body = draw_job(&mut rng);
                let prefix = if rng.random_bool(0.5) { "/a/" } else { "/b/" };
                for _ in 0..5 {
                    let at = callers[rng.random_range(0..callers.len())];
                    match submit(&ledger, at, prefix, &id, &body).await {
                        Some(200) => break,
                        Some(429 | 503) => sleep(Duration::from_millis(700)).await,
                        _ => sleep(Duration::from_millis(100)).await,
                    }
                }
                if rng.random_bool(0.2) {
                    let at = callers[rng.random_range(0..callers.len())];
                    submit(&ledger, at, prefix, &id, &body).await;
                }
                if rng.random_bool(0.15) && ledger.books().jobs[&id].accepted.is_some() {
                    sleep(Duration::from_millis(rng.random_range(0..2_000))).await;
                    cancel(&ledger, &callers, prefix, &id, &mut rng).await;
                }
                sleep(Duration::from_millis(rng.random_range(50..700))).await;
            }
        }));
    }
    // Faults.
    if trouble {
        let until = Instant::now() + Duration::from_secs(24);
        while Instant::now() < until {
            sleep(Duration::from_millis(rng.random_range(200..2_500))).await;
            let pick = rng.random_range(0..workers.len());
            match rng.random_range(0..9) {
                0 => {
                    let Some(l) = leader(&nodes) else { continue };
                    ledger.line(format!("KILL {}", nodes[l].name));
                    nodes[l].signal("KILL");
                    sleep(Duration::from_millis(rng.random_range(100..3_000))).await;
                    let _ = nodes[l].ended();
                    nodes[l].start();
                }
                1 => {
                    let Some(l) = leader(&nodes) else { continue };
                    ledger.line(format!("STOP {}", nodes[l].name));
                    nodes[l].signal("STOP");
                    sleep(Duration::from_millis(rng.random_range(300..3_500))).await;
                    nodes[l].signal("CONT");
                }
                2 => {
                    let l = leader(&nodes).unwrap_or(0);
                    ledger.line(format!("TERM {}", nodes[l].name));
                    nodes[l].signal("TERM");
                    for _ in 0..65 {
                        sleep(Duration::from_millis(100)).await;
                        if !nodes[l].running() {
                            break;
                        }
                    }
                    nodes[l].signal("KILL");
                    sleep(Duration::from_millis(100)).await;
                    let _ = nodes[l].ended();
                    nodes[l].start();
                }
                3 | 4 => {
                    let worker = workers[pick].clone();
                    if worker.trouble().dark {
                        continue;
                    }
                    worker.crash(rng.random_bool(0.5));
                    let pause = rng.random_range(300..5_000);
                    tokio::spawn(async move {
                        sleep(Duration::from_millis(pause)).await;
                        worker.reboot().await;
                    });
                }
                5 => {
                    let worker = workers[pick].clone();
                    if worker.trouble().dark {
                        continue;
                    }
                    ledger.line(format!("CUT {}", worker.id));
                    worker.set(Trouble {
                        cut: true,
                        ..Trouble::default()
                    });
                    let pause = rng.random_range(500..7_000);
                    let ledger = ledger.clone();
                    tokio::spawn(async move {
                        sleep(Duration::from_millis(pause)).await;
                        if worker.trouble().cut && !worker.trouble().dark {
                            ledger.line(format!("HEAL {}", worker.id));
                            worker.set(Trouble::default());
                        }
                    });
                }
                6 => {
                    ledger.line("LATE orders");
                    for w in &workers {
                        let t = w.trouble();
                        w.set(Trouble { late: 0.15, ..t });
                    }
                    sleep(Duration::from_millis(2_500)).await;
                    for w in &workers {
                        let t = w.trouble();
                        w.set(Trouble { late: 0.0, ..t });
                    }
                }
                7 => {
                    ledger.line("LOST writes");
                    platform.set_faults(Faults {
                        lost_writes: 30,
                        ..Faults::default()
                    });
                    sleep(Duration::from_millis(2_000)).await;
                    platform.set_faults(Faults::default());
                }
                _ => {
                    ledger.line("store down");
                    platform.set_faults(Faults {
                        store_down: true,
                        ..Faults::default()
                    });
                    sleep(Duration::from_millis(rng.random_range(500..4_000))).await;
                    platform.set_faults(Faults::default());
                }
            }
        }
    }
    for task in tasks {
        let _ = task.await;
    }
    ledger.line("calm");
    for w in &workers {
        let t = w.trouble();
        w.set(Trouble {
            dark: t.dark,
            ..Trouble::default()
        });
    }
    // Jobs that last are cancelled, so that the others can end.
    sleep(Duration::from_secs(8)).await;
    let lasting: Vec<String> = {
        let books = ledger.books();
        let lasting = books.jobs.iter().filter(|(_, j)| {
            j.accepted.is_some()
                && j.cancelled.is_none()
                && j.body["steps"][0]["long_running"] == json!(true)
        });
        lasting.map(|(id, _)| id.clone()).collect()
    };
    for id in &lasting {
        let live = {
            let books = ledger.books();
            let prefix = format!("{id}.");
            books
                .units
                .iter()
                .filter(|(t, u)| t.starts_with(&prefix) && !u.live.is_empty())
                .count()
        };
        if live == 0 {
            ledger.fault(format!("LOST lasting {id} has nothing running"));
        }
        cancel(&ledger, &callers, "/a/", id, &mut rng).await;
    }
    let begun = Instant::now();
    let mut open: Vec<String> = Vec::new();
    while begun.elapsed() < Duration::from_secs(25) {
        open.clear();
        let jobs: Vec<(String, Job)> = {
            let books = ledger.books();
            books
                .jobs
                .iter()
                .map(|(i, j)| (i.clone(), j.clone()))
                .collect()
        };
        for (id, job) in &jobs {
            if job.accepted.is_none() {
                continue;
            }
            let at = callers[rng.random_range(0..callers.len())];
            let state = match ask(at, "GET", &format!("/a/{id}")).await {
                Some((200, body)) => body["state"].as_str().unwrap_or("?").to_owned(),
                Some((status, _)) => format!("{status}"),
                None => "none".into(),
            };
            let fine = match (job.cancel_sent.is_some(), state.as_str()) {
                (_, "complete") => true,
                (true, "cancelled" | "410") => true,
                (false, "410" | "failed" | "cancelled") => {
                    ledger.fault(format!("LOST {id} is {state}"));
                    true
                }
                _ => false,
            };
            if state == "complete" {
                check_complete(&ledger, id, job);
            }
            if !fine {
                open.push(format!("{id} {state}"));
            }
        }
        if open.is_empty() {
            break;
        }
        sleep(Duration::from_millis(1_000)).await;
    }
    for id in &open {
        ledger.fault(format!("LOST not ended: {id}"));
    }
    for node in &mut nodes {
        if let Some(status) = node.ended() {
            ledger.fault(format!("{} ended: {status}", node.name));
        }
        if node.log().contains("panicked") {
            ledger.fault(format!("{} panicked", node.name));
        }
    }
    let books = ledger.books();
    let text = books.lines.join("\n");
    std::fs::write(folder.join("record.txt"), text + "\n").expect("a record");
    let (jobs, starts) = (
        books.jobs.len(),
        books.units.values().map(|u| u.starts).sum::<u64>(),
    );
    println!(
        "seed {seed}: {jobs} jobs, {starts} starts, {} alone, {} faults",
        books.alone,
        books.faults.len()
    );
    books.faults.clone()
}

fn check_complete(ledger: &Ledger, id: &str, job: &Job) {
    let books = ledger.books();
    let turns = job.body["times"].as_u64().unwrap_or_default().max(1);
    let mut missing = Vec::new();
    for turn in 0..turns {
        for (s, step) in job.body["steps"]
            .as_array()
            .into_iter()
            .flatten()
            .enumerate()
        {
            for i in 0..step["count"].as_u64().unwrap_or_default() {
                let unit = format!("{id}.{turn}.{s}.{i}");
                let gang = step["gang"] == json!(true);
                let done = books.units.get(&unit).is_some_and(|u| !u.done.is_empty());
                if !done && !gang {
                    missing.push(unit);
                }
            }
        }
    }
    drop(books);
    if !missing.is_empty() {
        ledger.fault(format!("MIXED {id} is complete, not done: {missing:?}"));
    }
}

async fn cancel(ledger: &Ledger, callers: &[SocketAddr], prefix: &str, id: &str, rng: &mut StdRng) {
    if let Some(job) = ledger.books().jobs.get_mut(id) {
        job.cancel_sent.get_or_insert_with(Instant::now);
    }
    for _ in 0..8 {
        let at = callers[rng.random_range(0..callers.len())];
        let answer = ask(at, "DELETE", &format!("{prefix}{id}")).await;
        let status = answer.map(|a| a.0);
        ledger.line(format!("DELETE {id} -> {status:?}"));
        if matches!(status, Some(200..300 | 410)) {
            if let Some(job) = ledger.books().jobs.get_mut(id) {
                job.cancelled.get_or_insert_with(Instant::now);
            }
            return;
        }
        sleep(Duration::from_millis(500)).await;
    }
}
