//! One HTTP call with a time limit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::Meter;
use crate::meter::MeteredStream;

/// Largest answer that a call takes, in bytes.
const MAX_BODY: usize = 64 << 20;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection, or the request was given back unsent: it did not take effect.
    #[error("{0} cannot be reached: {1}")]
    NotSent(SocketAddr, String),
    /// It was sent and no whole answer came back: it may have taken effect.
    #[error("{0} gave no answer: {1}")]
    Unknown(SocketAddr, String),
}

/// A status and a whole body.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// A call to be made.
#[derive(Debug, Clone)]
pub struct Call {
    peer: SocketAddr,
    method: Method,
    path: String,
    key: Option<String>,
    body: Vec<u8>,
    timeout: Duration,
    meter: Option<Arc<Meter>>,
}

impl Answer {
    /// Decodes the body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

impl Call {
    /// Time limit unless another is set.
    const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

    /// A `GET` of `path`.
    pub fn get(peer: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(peer, Method::GET, path)
    }

    /// A `POST` to `path`.
    pub fn post(peer: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(peer, Method::POST, path)
    }

    fn new(peer: SocketAddr, method: Method, path: impl Into<String>) -> Self {
        let path = path.into();
        Self {
            peer,
            method,
            path,
            key: None,
            body: Vec::new(),
            timeout: Self::DEFAULT_TIMEOUT,
            meter: None,
        }
    }

    /// Sends `key` as a bearer token.
    pub fn with_key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Sends `value` as JSON.
    pub fn with_json<T: Serialize>(mut self, value: &T) -> Result<Self, serde_json::Error> {
        self.body = serde_json::to_vec(value)?;
        Ok(self)
    }

    /// Gives up after `limit`.
    pub fn with_timeout(mut self, limit: Duration) -> Self {
        self.timeout = limit;
        self
    }

    /// Counts the call's bytes on `meter`.
    pub fn with_meter(mut self, meter: Arc<Meter>) -> Self {
        self.meter = Some(meter);
        self
    }

    /// Makes the call on a connection of its own.
    pub async fn send(self) -> Result<Answer, CallError> {
        let (peer, limit) = (self.peer, self.timeout);
        let stream = match timeout(limit, TcpStream::connect(peer)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(CallError::NotSent(peer, e.to_string())),
            Err(_) => return Err(CallError::NotSent(peer, "connect timed out".into())),
        };
        match timeout(limit, self.exchange(stream)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Unknown(peer, "timed out".into())),
        }
    }

    async fn exchange(self, stream: TcpStream) -> Result<Answer, CallError> {
        let peer = self.peer;
        let stream = MeteredStream::new(stream, self.meter.clone());
        let request = self
            .request()
            .map_err(|e| CallError::NotSent(peer, e.to_string()))?;
        let unknown = |e: &dyn std::fmt::Display| CallError::Unknown(peer, e.to_string());
        let (mut sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| CallError::NotSent(peer, e.to_string()))?;
        let driver = tokio::spawn(conn);
        let exchange = async {
            let answer = sender
                .send_request(request)
                .await
                .map_err(|e| unknown(&e))?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_BODY);
            let body = body.collect().await.map_err(|e| unknown(&e))?.to_bytes();
            Ok(Answer { status, body })
        };
        let result = exchange.await;
        driver.abort();
        result
    }

    fn request(self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header("host", self.peer.to_string())
            .header("content-type", "application/json");
        if let Some(key) = self.key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        request.body(Full::new(Bytes::from(self.body)))
    }
}
