//! HTTP client of the platform's log, roster and task services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_http::{Answer, Call, CallError, Meter};
use cactuswheel_model::Offset;
use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{
    Appended, Batch, Log, LogError, Roster, RosterChanges, RosterError, Stream, TaskError, TaskId,
    TaskOrder, Tasks,
};

/// Timeout of a call, in addition to the wait time that the call requests.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// HTTP client of the platform's services.
#[derive(Debug, Clone)]
pub struct Client {
    platform: SocketAddr,
    meter: Arc<Meter>,
}

impl Client {
    /// Creates a client of the platform at the address `platform`.
    pub fn new(platform: SocketAddr) -> Self {
        Self {
            platform,
            meter: Arc::default(),
        }
    }

    /// The counter of bytes sent and received by all calls.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    pub(crate) fn get(&self, path: impl Into<String>) -> Call {
        Call::get(self.platform, path).with_meter(self.meter.clone())
    }

    pub(crate) fn post(&self, path: impl Into<String>) -> Call {
        Call::post(self.platform, path).with_meter(self.meter.clone())
    }
}

impl Log for Client {
    async fn append(&self, stream: Stream, bodies: Vec<String>) -> Result<Appended, LogError> {
        let call = self
            .post(format!("/log/{stream}"))
            .with_json(&bodies)
            .map_err(|e| LogError::Unavailable(e.to_string()))?
            .with_timeout(CALL_TIMEOUT);
        decode(call.send().await.map_err(LogError::from)?)
    }

    async fn read(
        &self,
        stream: Stream,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Batch, LogError> {
        let path = format!(
            "/log/{stream}?from={from}&max={max}&wait={}",
            wait.as_millis()
        );
        let call = self.get(path).with_timeout(wait + CALL_TIMEOUT);
        decode(call.send().await.map_err(LogError::from)?)
    }
}

impl Roster for Client {
    async fn changes(&self, since: &str) -> Result<RosterChanges, RosterError> {
        let call = self
            .get(format!("/roster?since={since}"))
            .with_timeout(CALL_TIMEOUT);
        let answer = call.send().await.map_err(|e| RosterError(e.to_string()))?;
        if answer.status != StatusCode::OK {
            return Err(RosterError(answer.status.to_string()));
        }
        answer.json().map_err(|e| RosterError(e.to_string()))
    }
}

impl Tasks for Client {
    async fn start(&self, order: &TaskOrder) -> Result<(), TaskError> {
        self.send_tasks("/tasks/start", order).await
    }

    async fn renew(&self, tasks: &[TaskId], lease: u64) -> Result<(), TaskError> {
        self.send_tasks("/tasks/renew", &(tasks, lease)).await
    }

    async fn stop(&self, tasks: &[TaskId]) -> Result<(), TaskError> {
        self.send_tasks("/tasks/stop", &tasks).await
    }
}

impl Client {
    async fn send_tasks<T: Serialize + Sync>(&self, path: &str, body: &T) -> Result<(), TaskError> {
        let unknown = |e: &dyn std::fmt::Display| TaskError::Unknown(e.to_string());
        let call = self.post(path).with_json(body).map_err(|e| unknown(&e))?;
        let answer = call
            .with_timeout(CALL_TIMEOUT)
            .send()
            .await
            .map_err(|e| unknown(&e))?;
        match answer.status {
            StatusCode::OK => Ok(()),
            StatusCode::CONFLICT => Err(TaskError::Restarted),
            status => Err(unknown(&status)),
        }
    }
}

impl From<CallError> for LogError {
    fn from(e: CallError) -> Self {
        match e {
            CallError::NotSent(..) => Self::Unavailable(e.to_string()),
            CallError::Unknown(..) => Self::Unknown(e.to_string()),
        }
    }
}

fn decode<T: DeserializeOwned>(answer: Answer) -> Result<T, LogError> {
    match answer.status {
        StatusCode::OK => answer.json().map_err(|e| LogError::Unknown(e.to_string())),
        StatusCode::GONE => Err(trimmed(&answer)),
        // With this status, the platform guarantees that the call had no effect.
        StatusCode::SERVICE_UNAVAILABLE => Err(LogError::Unavailable("it is down".into())),
        status => Err(LogError::Unknown(status.to_string())),
    }
}

fn trimmed(answer: &Answer) -> LogError {
    match answer.json::<Batch>() {
        Ok(batch) => LogError::Trimmed(batch.first),
        Err(e) => LogError::Unknown(e.to_string()),
    }
}
