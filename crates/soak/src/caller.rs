//! A caller: hands jobs in until one is accepted, and asks for them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactuswheel_http::Call;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Time that a caller waits for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Pause before a caller tries again.
const RETRY_INTERVAL: Duration = Duration::from_millis(80);

/// Time in which a job has to be accepted, or final.
const JOB_TIMEOUT: Duration = Duration::from_secs(60);

/// A job that was accepted.
#[derive(Debug, Clone)]
pub struct AcceptedJob {
    /// Its path, with the queue.
    pub path: String,
    /// Its identifier.
    pub id: String,
    /// Its tasks.
    pub tasks: usize,
}

/// A caller of some nodes.
#[derive(Debug, Clone)]
pub struct Caller {
    nodes: Vec<SocketAddr>,
    last: usize,
}

impl Caller {
    /// Asks `nodes` in turn, `first` first.
    pub fn new(nodes: Vec<SocketAddr>, start: usize) -> Self {
        Self { nodes, last: start }
    }

    fn next_node(&mut self) -> SocketAddr {
        self.last += 1;
        self.nodes[self.last % self.nodes.len()]
    }

    /// Hands a job in, at one node after the other, until one has accepted it.
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
            let call = call.with_json(&body).expect("a job has a JSON form");
            if call.send().await.is_ok_and(|a| a.status.is_success()) {
                let tasks = tasks as usize;
                return AcceptedJob { path, id, tasks };
            }
            sleep(RETRY_INTERVAL).await;
        }
        panic!("{path} was not accepted in time");
    }

    /// Status and state of a job, if a node says.
    pub async fn job_status(&mut self, path: &str) -> Option<(u16, String)> {
        let call = Call::get(self.next_node(), path).with_timeout(REQUEST_TIMEOUT);
        let answer = call.send().await.ok()?;
        let body: Value = answer.json().unwrap_or_default();
        let state = body["state"].as_str().unwrap_or_default().to_owned();
        Some((answer.status.as_u16(), state))
    }

    /// Waits for a final state; an error tells what was wrong.
    pub async fn wait(&mut self, job: &AcceptedJob) -> Result<String, String> {
        let start = Instant::now();
        while start.elapsed() < JOB_TIMEOUT {
            match self.job_status(&job.path).await {
                Some((200, state)) if ["complete", "failed", "cancelled"].contains(&&state[..]) => {
                    return Ok(state);
                }
                Some((410, _)) => return Err(format!("{}: unknown, though accepted", job.path)),
                _ => sleep(RETRY_INTERVAL).await,
            }
        }
        Err(format!("{}: no final state in time", job.path))
    }
}
