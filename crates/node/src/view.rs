//! Metrics and views for operators, served at the metrics address.

use std::sync::Arc;

use cactuswheel_cell::Cell;
use cactuswheel_http::{Reply, json, text};
use cactuswheel_work::JobId;
use hyper::StatusCode;
use serde_json::{Value, json as value};

use crate::shared::Shared;

/// Path of the cell view.
const CELL_PATH: &str = "/cell";

/// Path prefix of the job view, followed by the job id.
const JOB_PATH: &str = "/cell/jobs/";

/// Answers a request at the metrics address; every path that is not a view gets the metrics.
pub(crate) async fn answer(shared: Arc<Shared>, path: String) -> Reply {
    if path == CELL_PATH {
        return cell(&shared).await;
    }
    if let Some(id) = path.strip_prefix(JOB_PATH) {
        return job(&shared, id).await;
    }
    match shared.metrics.text() {
        Ok(body) => text(StatusCode::OK, body),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

async fn cell(shared: &Shared) -> Reply {
    let owner = shared.owner.load_full();
    let own = match shared.local_owner.load_full() {
        Some(own) => own.cell_view().await,
        None => None,
    };
    let config = shared.config.load_full();
    let body = value!({
        "node": shared.settings.node.as_str(),
        "ready": shared.is_config_fresh() && !shared.is_stopping(),
        "config": config.map(|c| c.version),
        "config_age_ms": shared.config_age(),
        "owner": owner.as_ref().map(|o| o.node.as_str()),
        "epoch": owner.as_ref().map(|o| o.epoch),
        "cell": own,
    });
    json(StatusCode::OK, &body)
}

async fn job(shared: &Shared, id: &str) -> Reply {
    let Ok(id) = id.parse::<JobId>() else {
        return text(StatusCode::BAD_REQUEST, "16 lower-case hexadecimal digits");
    };
    let Some(own) = shared.local_owner.load_full() else {
        return text(
            StatusCode::SERVICE_UNAVAILABLE,
            "this node does not own the cell",
        );
    };
    match own.job_view(id).await {
        Some(view) => json(StatusCode::OK, &view),
        None => text(StatusCode::NOT_FOUND, "no such job"),
    }
}

/// View of the cell for operators.
pub(crate) fn cell_view(cell: &Cell) -> Value {
    let queues = cell.queue_lengths().into_iter().map(|(name, (open, waiting))| {
        value!({ "queue": name.as_str(), "open": open, "waiting": waiting })
    });
    let loads = cell.loads();
    let workers = cell.workers();
    let pools = loads.iter().map(|(name, load)| {
        let here = workers.values().filter(|w| w.service == *name);
        let (count, runs) = here.fold((0, 0), |(n, runs), w| (n + 1, runs + w.runs));
        value!({
            "pool": name.as_str(), "workers": count, "runs": runs,
            "used_cores": load.used.cpu / 1_000, "waiting_cores": load.waiting.cpu / 1_000,
        })
    });
    value!({ "queues": sorted(queues), "pools": sorted(pools) })
}

/// View of a job for operators; `None` if there is no such job.
pub(crate) fn job_view(cell: &Cell, id: JobId) -> Option<Value> {
    let job = cell.job(id)?;
    let runs = job.runs.iter().map(|r| {
        value!({
            "task": r.task.to_string(), "run": r.run, "worker": r.worker.as_str(),
            "phase": r.phase, "percent": r.percent,
        })
    });
    Some(value!({
        "job": id.to_string(), "queue": job.queue.as_str(), "state": job.state,
        "age_ms": job.age.as_millis() as u64, "done": job.done, "waiting": job.waiting,
        "runs": sorted(runs),
    }))
}

fn sorted(rows: impl Iterator<Item = Value>) -> Vec<Value> {
    let mut rows: Vec<Value> = rows.collect();
    rows.sort_by_key(Value::to_string);
    rows
}
