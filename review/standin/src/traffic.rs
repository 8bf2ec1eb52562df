//! Traffic of short jobs, which have to be carried out whatever else is handed in.

use std::time::Duration;

use serde_json::{Value, json};

use crate::Verdict;
use crate::fleet::Spec;
use crate::lost::{Waiting, watch};
use crate::world::{Client, Route, World, job_id};

/// Work units of a short job.
const COUNT: u64 = 2;
/// Seconds of traffic, with one job a second on each route.
const TRAFFIC_S: u64 = 15;
/// `finish_s`, after which LOST is checked, and how long it is checked.
const FINISH_S: f64 = 14.0;
const CHECKED: Duration = Duration::from_secs(6);

fn spec() -> Spec {
    Spec {
        work_ms: 300,
        cpu: 1_000,
        mem_mb: 512,
        failing_runs: 0,
    }
}

/// A job of two work units of 300 ms, each on one core.
pub fn short_job() -> Value {
    let spec = spec();
    json!({
        "spec": spec.text(),
        "steps": [{
            "count": COUNT, "cpu": spec.cpu, "mem_mb": spec.mem_mb, "estimate_ms": spec.work_ms,
        }],
    })
}

/// Five jobs on each route, before any disruption; whether all of them are done in 10 s.
pub fn calm(world: &World, routes: &[Route]) -> bool {
    let client = Client::new(world, "tenant-2");
    let mut ids = Vec::new();
    for (index, route) in routes.iter().enumerate() {
        for number in 0..5 {
            let id = job_id(100 + index as u64, number);
            if !client.submit(route, &id, &short_job()) {
                return false;
            }
            ids.push(id);
        }
    }
    for _ in 0..100 {
        if ids.iter().all(|id| world.fleet.done(id) == COUNT) {
            return true;
        }
        pause(0.1);
    }
    world.record.say("jobs were not done before the disruption");
    false
}

/// Hands in jobs of tenant-2 for [`TRAFFIC_S`], then checks LOST for those that were accepted.
pub fn check(world: &World, routes: &[Route]) -> Verdict {
    let client = Client::new(world, "tenant-2");
    let mut jobs: Vec<(&Route, Waiting)> = Vec::new();
    for second in 0..TRAFFIC_S {
        for (index, route) in routes.iter().enumerate() {
            let id = job_id(3 + index as u64, second);
            if client.submit(route, &id, &short_job()) {
                jobs.push((route, waiting(route, &id)));
            }
        }
        pause(1.0);
    }
    let record = &world.record;
    record.say(format!(
        "end of the traffic, {} jobs of tenant-2 accepted",
        jobs.len()
    ));
    pause(FINISH_S);
    let accepted: Vec<Waiting> = jobs.iter().map(|(_, w)| w.clone()).collect();
    let lost = watch(&world.fleet, record, &accepted, CHECKED);
    for (route, job) in &jobs {
        let state = client.state(route, &job.id);
        let state = state.unwrap_or_else(|| "no answer".into());
        let starts = world.fleet.starts(&job.id);
        record.line(format!(
            "job {} on {}: state {state}, {starts} starts",
            job.id, route.name
        ));
    }
    record.say(format!(
        "{} of {} accepted jobs of tenant-2 lost",
        lost.len(),
        jobs.len()
    ));
    match lost.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

/// What LOST needs to know of a [`short_job`].
fn waiting(route: &Route, id: &str) -> Waiting {
    let spec = spec();
    Waiting {
        id: id.to_owned(),
        service: route.service,
        count: COUNT,
        cpu: spec.cpu,
        mem_mb: spec.mem_mb,
    }
}

pub fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}
