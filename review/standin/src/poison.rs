//! Many jobs come that can never be done; are the other jobs of their service still carried out?

use std::path::PathBuf;
use std::sync::Arc;

use serde_json::{Value, json};

use crate::Verdict;
use crate::fleet::Spec;
use crate::record::Record;
use crate::traffic;
use crate::world::{Client, Route, World, job_id};

/// Number of jobs that can never be done, with one work unit each.
const HOPELESS: u64 = 24;

pub fn run(record: Arc<Record>, dir: PathBuf, trouble: bool) -> Verdict {
    let routes = Route::two();
    let Some(world) = World::start(record.clone(), &dir, &routes) else {
        return Verdict::CannotRun;
    };
    if !traffic::calm(&world, &routes) {
        return Verdict::CannotRun;
    }
    if trouble {
        let client = Client::new(&world, "tenant-1");
        let ids = (0..HOPELESS).map(|n| job_id(2, n));
        let accepted = ids.filter(|id| client.submit(&routes[0], id, &hopeless_job()));
        record.say(format!(
            "{} jobs of tenant-1 accepted that can never be done",
            accepted.count()
        ));
    }
    traffic::check(&world, &routes)
}

/// A long-running job whose label no executor has.
fn hopeless_job() -> Value {
    let spec = Spec {
        work_ms: 0,
        cpu: 1_000,
        mem_mb: 512,
        failing_runs: 0,
    };
    json!({
        "spec": spec.text(),
        "steps": [{
            "count": 1, "cpu": spec.cpu, "mem_mb": spec.mem_mb, "estimate_ms": 1_000,
            "long_running": true, "required_label": "kind-z",
        }],
    })
}
