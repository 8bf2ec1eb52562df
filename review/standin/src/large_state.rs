//! Clients hand in large jobs for later, then one process is killed. Are the accepted jobs known?

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::Verdict;
use crate::fleet::Spec;
use crate::record::{Record, wall_ms};
use crate::traffic::{self, pause, short_job};
use crate::world::{Client, Route, World, job_id};

/// Number of large jobs, unless `JOBS` says otherwise.
const JOBS: u64 = 600;
/// Rate at which they come, in jobs a second over all clients: the usual traffic of a small
/// deployment.
const RATE: f64 = 24.0;
const CLIENTS: u64 = 5;
/// How far ahead they are due, in milliseconds.
const AHEAD_MS: u64 = 600_000;
/// Steps of a large job, one after the other, and what each runs.
const STEPS: u64 = 1_000;
const IMAGE: &str = "registry.example/reels/assemble:42";
/// Size of a job's `spec`, the largest allowed.
const SPEC_BYTES: usize = 4_000;
/// How long the killed process is away.
const DOWN_S: f64 = 1.4;
/// `finish_s`.
const FINISH_S: f64 = 14.0;
/// How long an accepted job is asked for, again and again, at all nodes in turn.
const ASKED: Duration = Duration::from_secs(8);
/// Number of large and of short jobs that are asked for.
const ASKED_LARGE: u64 = 20;
const ASKED_SHORT: u64 = 4;

pub fn run(record: Arc<Record>, dir: PathBuf, trouble: bool) -> Verdict {
    let routes = Route::two();
    let [short, large] = &routes;
    let Some(mut world) = World::start(record.clone(), &dir, &routes) else {
        return Verdict::CannotRun;
    };
    if !traffic::calm(&world, &routes) {
        return Verdict::CannotRun;
    }
    let jobs = std::env::var("JOBS").ok().and_then(|n| n.parse().ok());
    let accepted = hand_in(&world, large, jobs.unwrap_or(JOBS));
    record.say(format!(
        "{} large jobs of tenant-1 accepted; the newest records of the store's topics have {} \
         bytes (journal) and {} bytes (intake)",
        accepted.len(),
        world.store.size("keyed.journal"),
        world.store.size("keyed.intake")
    ));
    if accepted.is_empty() {
        return Verdict::CannotRun;
    }
    let client = Client::new(&world, "tenant-2");
    let ids = (0..ASKED_SHORT).map(|n| job_id(3, n));
    let shorts: Vec<String> = ids
        .filter(|id| client.submit(short, id, &short_job()))
        .collect();
    pause(1.0);
    if trouble && !kill_leader(&mut world) {
        return Verdict::CannotRun;
    }
    record.say("end of the traffic");
    pause(FINISH_S);
    let every = accepted.len().div_ceil(ASKED_LARGE as usize);
    let larges = accepted.iter().step_by(every);
    let mut asked: Vec<(&str, &Route, &str)> = Vec::new();
    asked.extend(shorts.iter().map(|id| ("tenant-2", short, id.as_str())));
    asked.extend(larges.map(|id| ("tenant-1", large, id.as_str())));
    let unknown = asked.len() - count_known(&world, &asked);
    record.say(format!(
        "{unknown} of {} accepted jobs that were asked for aren't known or got no answer",
        asked.len()
    ));
    match unknown {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Kills the process that leads and starts it again.
fn kill_leader(world: &mut World) -> bool {
    let Some(leader) = world.leader() else {
        world.record.say("no node leads");
        return false;
    };
    let node = &mut world.nodes[leader];
    node.kill();
    world.record.say(format!("node {} killed", node.name));
    pause(DOWN_S);
    let started = node.start().is_ok();
    world
        .record
        .say(format!("node {} started again", node.name));
    started
}

/// Hands in the large jobs at [`RATE`]; returns those that were accepted.
fn hand_in(world: &World, route: &Route, jobs: u64) -> Vec<String> {
    let next = AtomicU64::new(0);
    let start = Instant::now();
    let send = || {
        let client = Client::new(world, "tenant-1");
        let mut accepted = Vec::new();
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= jobs {
                return accepted;
            }
            let due = Duration::from_secs_f64(number as f64 / RATE);
            std::thread::sleep(due.saturating_sub(start.elapsed()));
            let id = job_id(2, number);
            if client.submit(route, &id, &large_job()) {
                accepted.push(id);
            }
        }
    };
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS).map(|_| scope.spawn(send)).collect();
        let accepted = clients
            .into_iter()
            .flat_map(|c| c.join().unwrap_or_default());
        accepted.collect()
    })
}

/// A job of many steps that runs once, ten minutes from now.
fn large_job() -> Value {
    let spec = Spec {
        work_ms: 300,
        cpu: 1_000,
        mem_mb: 512,
        failing_runs: 0,
    };
    let text = spec.text();
    let filler = " ".repeat(SPEC_BYTES - text.len());
    let steps = (0..STEPS).map(|number| {
        let after: Vec<u64> = number.checked_sub(1).into_iter().collect();
        json!({
            "count": 1, "cpu": spec.cpu, "mem_mb": spec.mem_mb, "estimate_ms": spec.work_ms,
            "image": IMAGE, "after": after,
        })
    });
    let steps: Vec<Value> = steps.collect();
    json!({
        "spec": format!("{text}{filler}"), "steps": steps,
        "begin_ms": wall_ms() + AHEAD_MS, "interval_ms": 1_000, "times": 1,
    })
}

/// Asks for each job for up to [`ASKED`]; returns how many are known.
fn count_known(world: &World, jobs: &[(&str, &Route, &str)]) -> usize {
    let ask = |tenant: &str, route: &Route, id: &str| {
        let client = Client::new(world, tenant);
        let start = Instant::now();
        while start.elapsed() < ASKED {
            match client.state(route, id).as_deref() {
                Some("gone") => return false,
                Some(_) => return true,
                None => pause(0.2),
            }
        }
        false
    };
    std::thread::scope(|scope| {
        let asking = jobs
            .iter()
            .map(|(t, r, id)| scope.spawn(move || ask(t, r, id)));
        let asking: Vec<_> = asking.collect();
        let answers = asking.into_iter().map(|a| a.join().unwrap_or(false));
        answers.filter(|known| *known).count()
    })
}
