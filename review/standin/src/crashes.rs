//! Executors crash; does a sound long-running job go on?

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use crate::Verdict;
use crate::fleet::Spec;
use crate::record::Record;
use crate::traffic::{self, pause};
use crate::world::{Client, Route, World, job_id};

/// Work units of the job, and how many of them may be away.
const COUNT: usize = 5;
const MAY_MISS: usize = 1;
/// Number of crashes, how long an executor is down, and how long the work unit works before each.
const CRASHES: usize = 8;
const DOWN: Duration = Duration::from_millis(500);
const WORKS_S: f64 = 1.5;

pub fn run(record: Arc<Record>, dir: PathBuf, trouble: bool) -> Verdict {
    let routes = Route::two();
    let Some(world) = World::start(record.clone(), &dir, &routes) else {
        return Verdict::CannotRun;
    };
    if !traffic::calm(&world, &routes) {
        return Verdict::CannotRun;
    }
    let spec = Spec {
        work_ms: 0,
        cpu: 2_000,
        mem_mb: 4_096,
        failing_runs: 0,
    };
    let job = json!({
        "spec": spec.text(),
        "steps": [{
            "count": COUNT, "cpu": spec.cpu, "mem_mb": spec.mem_mb, "estimate_ms": 1_000,
            "long_running": true, "max_per_server": 1, "may_miss": MAY_MISS,
        }],
    });
    let (client, id) = (Client::new(&world, "tenant-2"), job_id(2, 0));
    if !client.submit(&routes[0], &id, &job) || !wait_at_work(&world, &id, COUNT) {
        record.say("the long-running job isn't at work");
        return Verdict::CannotRun;
    }
    world.fleet.watch_budget(&id, COUNT, MAY_MISS);
    pause(1.0);
    record.say(format!("job {id} is at work with {COUNT} work units"));
    for _ in 0..CRASHES {
        pause(WORKS_S);
        if trouble && let Some(executor) = world.fleet.crash(&format!("{id}.0.0.0"), DOWN) {
            record.say(format!("executor {executor} crashes"));
        }
        if !wait_at_work(&world, &id, COUNT) {
            break;
        }
    }
    pause(2.0);
    let state = client
        .state(&routes[0], &id)
        .unwrap_or_else(|| "no answer".into());
    record.say(format!(
        "job {id} is shown as {state}; {} of its runs ended failed; {} of {COUNT} work units are \
         at work; {} stops broke AVAIL",
        world.fleet.failed(&id),
        world.fleet.at_work(&id),
        world.fleet.over_budget()
    ));
    match world.fleet.over_budget() {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Waits up to 10 s until `count` work units of a job are at work.
fn wait_at_work(world: &World, id: &str, count: usize) -> bool {
    for _ in 0..200 {
        if world.fleet.at_work(id) == count {
            return true;
        }
        pause(0.05);
    }
    false
}
