//! Worker control over HTTP: drain, resume, reboot and worker states.

use cactuswheel_http::{Answer, CallError};
use cactuswheel_model::InstanceId;
use hyper::StatusCode;

use crate::client::CALL_TIMEOUT;
use crate::{Client, WorkerError, WorkerOrder, WorkerState, Workers};

impl Workers for Client {
    async fn drain(&self, instance: &InstanceId, order: WorkerOrder) -> Result<(), WorkerError> {
        self.order(instance, "drain", order).await
    }

    async fn resume(&self, instance: &InstanceId, order: WorkerOrder) -> Result<(), WorkerError> {
        self.order(instance, "resume", order).await
    }

    async fn reboot(&self, instance: &InstanceId, order: WorkerOrder) -> Result<(), WorkerError> {
        self.order(instance, "reboot", order).await
    }

    async fn states(&self, instances: &[InstanceId]) -> Result<Vec<WorkerState>, WorkerError> {
        let call = self
            .post("/worker-states")
            .with_json(&instances)
            .map_err(|e| WorkerError::Unavailable(e.to_string()))?
            .with_timeout(CALL_TIMEOUT);
        let answer = check(call.send().await?)?;
        answer
            .json()
            .map_err(|e| WorkerError::Unknown(e.to_string()))
    }
}

impl Client {
    async fn order(
        &self,
        instance: &InstanceId,
        action: &str,
        order: WorkerOrder,
    ) -> Result<(), WorkerError> {
        let call = self
            .post(format!("/workers/{instance}/{action}"))
            .with_json(&order)
            .map_err(|e| WorkerError::Unavailable(e.to_string()))?
            .with_timeout(CALL_TIMEOUT);
        check(call.send().await?).map(drop)
    }
}

impl From<CallError> for WorkerError {
    fn from(e: CallError) -> Self {
        match e {
            CallError::NotSent(..) => Self::Unavailable(e.to_string()),
            CallError::Unknown(..) => Self::Unknown(e.to_string()),
        }
    }
}

fn check(answer: Answer) -> Result<Answer, WorkerError> {
    match answer.status {
        StatusCode::OK => Ok(answer),
        StatusCode::CONFLICT | StatusCode::NOT_FOUND => {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            Err(WorkerError::Refused(text))
        }
        StatusCode::SERVICE_UNAVAILABLE => Err(WorkerError::Unavailable("it is down".into())),
        status => Err(WorkerError::Unknown(status.to_string())),
    }
}
