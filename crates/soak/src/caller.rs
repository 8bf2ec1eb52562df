//! A caller that submits jobs over HTTP, with retries, and polls them for their state.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactuswheel_http::Call;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Timeout of one HTTP request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Pause before a retry or the next poll of a job's state.
const RETRY_INTERVAL: Duration = Duration::from_millis(80);

/// Timeout for a job to be accepted by a node, and again for it to reach a final state.
const JOB_TIMEOUT: Duration = Duration::from_secs(60);

/// A job that a node has accepted.
#[derive(Debug, Clone)]
pub struct AcceptedJob {
    /// URL path of the job: the queue's prefix and the job id.
    pub path: String,
    /// The job id, 16 hexadecimal digits.
    pub id: String,
    /// Number of tasks in all steps.
    pub tasks: usize,
}

/// Calls nodes in round-robin order.
#[derive(Debug, Clone)]
pub struct Caller {
    nodes: Vec<SocketAddr>,
    /// Index of the node called last; it counts on beyond the number of nodes.
    last: usize,
}

impl Caller {
    /// Calls `nodes` in turn, starting with the one after index `start`.
    pub fn new(nodes: Vec<SocketAddr>, start: usize) -> Self {
        Self { nodes, last: start }
    }

    fn next_node(&mut self) -> SocketAddr {
        self.last += 1;
        self.nodes[self.last % self.nodes.len()]
    }

    /// Submits a job to one node after another until one has accepted it.
    ///
    /// # Panics
    ///
    /// If no node accepts the job within `JOB_TIMEOUT`.
    pub async fn submit(&mut self, queue: &str, id: u64, steps: &Value, spec: &str) -> AcceptedJob {
        let id = format!("{id:016x}");
        let path = format!("{queue}{id}");
        let body = json!({ "spec": spec, "steps": steps });
        let counts = steps.as_array().into_iter().flatten();
        let tasks = counts
            .map(|s| s["count"].as_u64().unwrap_or_default())
            .sum::<u64>();
        let start = Instant::now();
        while start.elapsed() < JOB_TIMEOUT {
            let call = Call::post(self.next_node(), &path).with_timeout(REQUEST_TIMEOUT);
            let call = call.with_json(&body).expect("a job can be encoded as JSON");
            if call.send().await.is_ok_and(|a| a.status.is_success()) {
                let tasks = tasks as usize;
                return AcceptedJob { path, id, tasks };
            }
            sleep(RETRY_INTERVAL).await;
        }
        panic!("{path} was not accepted in time");
    }

    /// Cancels a job, calling one node after another until one has stored the cancel.
    ///
    /// # Panics
    ///
    /// If no node stores it within `JOB_TIMEOUT`.
    pub async fn cancel(&mut self, job: &AcceptedJob) {
        let start = Instant::now();
        while start.elapsed() < JOB_TIMEOUT {
            let call = Call::delete(self.next_node(), &job.path).with_timeout(REQUEST_TIMEOUT);
            if call.send().await.is_ok_and(|a| a.status.is_success()) {
                return;
            }
            sleep(RETRY_INTERVAL).await;
        }
        panic!("{} was not cancelled in time", job.path);
    }

    /// The HTTP status and the state of a job; `None` if the node called does not answer.
    pub async fn job_status(&mut self, path: &str) -> Option<(u16, String)> {
        let call = Call::get(self.next_node(), path).with_timeout(REQUEST_TIMEOUT);
        let answer = call.send().await.ok()?;
        let body: Value = answer.json().unwrap_or_default();
        let state = body["state"].as_str().unwrap_or_default().to_owned();
        Some((answer.status.as_u16(), state))
    }

    /// Polls a job until it reaches a final state. Fails if a node no longer knows the job, or if
    /// the job has no final state within `JOB_TIMEOUT`; the error says which.
    pub async fn wait(&mut self, job: &AcceptedJob) -> Result<String, String> {
        let start = Instant::now();
        while start.elapsed() < JOB_TIMEOUT {
            match self.job_status(&job.path).await {
                Some((200, state)) if ["complete", "failed", "cancelled"].contains(&&state[..]) => {
                    return Ok(state);
                }
                Some((410, _)) => return Err(format!("{}: 410 although accepted", job.path)),
                _ => sleep(RETRY_INTERVAL).await,
            }
        }
        Err(format!("{}: no final state in time", job.path))
    }
}
