//! Calls to one entry.

use std::net::SocketAddr;
use std::time::Duration;

use cactuswheel_http::{Answer, Call};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::CliError;

/// Longer than an entry takes to give a ticket up.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// One entry's admin API, with the operator's key.
#[derive(Clone)]
pub(crate) struct Client {
    entry: SocketAddr,
    key: String,
    timeout: Duration,
}

/// The body of a refusal.
#[derive(Deserialize)]
struct Refusal {
    code: u16,
    message: String,
    #[serde(default)]
    detail: String,
}

impl Client {
    /// The API at `entry`.
    pub(crate) fn new(entry: SocketAddr, key: String) -> Self {
        Self {
            entry,
            key,
            timeout: REQUEST_TIMEOUT,
        }
    }

    /// The same operator at another entry.
    pub(crate) fn at(&self, entry: SocketAddr) -> Self {
        Self {
            entry,
            ..self.clone()
        }
    }

    /// Gives a call up after `timeout`.
    pub(crate) fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Where the entry listens.
    pub(crate) fn entry(&self) -> SocketAddr {
        self.entry
    }

    /// Reads.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        self.send(Call::get(self.entry, path)).await
    }

    /// Puts something in.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CliError> {
        let call = Call::post(self.entry, path).with_json(body);
        let call = call.map_err(|e| CliError::Input(e.to_string()))?;
        self.send(call).await
    }

    async fn send<T: DeserializeOwned>(&self, call: Call) -> Result<T, CliError> {
        let call = call.with_key(&self.key).with_timeout(self.timeout);
        let answer = call.send().await?;
        match answer.status.is_success() {
            true => answer
                .json()
                .map_err(|e| CliError::InvalidAnswer(e.to_string())),
            false => Err(refusal(&answer)),
        }
    }
}

fn refusal(answer: &Answer) -> CliError {
    match answer.json::<Refusal>() {
        Ok(refusal) => CliError::Refused {
            code: refusal.code,
            message: refusal.message,
            detail: refusal.detail,
        },
        Err(_) => CliError::InvalidAnswer(format!("status {}", answer.status)),
    }
}

/// The rows of a list.
pub(crate) fn items(list: &Value) -> &[Value] {
    list["items"].as_array().map_or(&[], Vec::as_slice)
}
