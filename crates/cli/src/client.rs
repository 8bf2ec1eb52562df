//! HTTP client for one entry.

use std::net::SocketAddr;
use std::time::Duration;

use cactuswheel_http::{Answer, Call};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::CliError;

/// Default request timeout; longer than an entry waits before it gives up on a ticket.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Client of one entry with the key of an operator or a team.
#[derive(Clone)]
pub(crate) struct Client {
    entry: SocketAddr,
    key: String,
    timeout: Duration,
}

/// JSON body of a refusal.
#[derive(Deserialize)]
struct Refusal {
    code: u16,
    message: String,
    #[serde(default)]
    detail: String,
}

impl Client {
    /// Creates a client for the entry at the address `entry`.
    pub(crate) fn new(entry: SocketAddr, key: String) -> Self {
        Self {
            entry,
            key,
            timeout: REQUEST_TIMEOUT,
        }
    }

    /// Returns a client with the same key and timeout for another entry.
    pub(crate) fn at(&self, entry: SocketAddr) -> Self {
        Self {
            entry,
            ..self.clone()
        }
    }

    /// Sets the timeout of each request.
    pub(crate) fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns the address of the entry.
    pub(crate) fn entry(&self) -> SocketAddr {
        self.entry
    }

    /// Sends a GET request and parses the JSON answer.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        self.send(Call::get(self.entry, path)).await
    }

    /// Sends a POST request with a JSON body and parses the JSON answer.
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

/// Returns the `items` of a list answer, or an empty slice if it has none.
pub(crate) fn items(list: &Value) -> &[Value] {
    list["items"].as_array().map_or(&[], Vec::as_slice)
}
