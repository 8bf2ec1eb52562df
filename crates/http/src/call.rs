//! One HTTP call with a timeout.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Connection, Meter};

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection failed or the request was not sent: the call took no effect.
    #[error("{0} cannot be reached: {1}")]
    NotSent(SocketAddr, String),
    /// The request may have been sent, and no complete response arrived: the call may have taken
    /// effect.
    #[error("{0} gave no answer: {1}")]
    Unknown(SocketAddr, String),
}

/// A complete response.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The whole response body.
    pub body: Bytes,
}

/// An HTTP request to one peer, built with the `with_` methods and sent with [`Call::send`].
#[derive(Debug, Clone)]
pub struct Call {
    peer: SocketAddr,
    method: Method,
    path: String,
    key: Option<String>,
    body: Vec<u8>,
    time_limit: Duration,
    meter: Option<Arc<Meter>>,
}

impl Answer {
    /// Decodes the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

impl Call {
    /// Timeout unless [`Call::with_timeout`] sets another.
    const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

    /// Creates a `GET` request for `path`.
    pub fn get(peer: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(peer, Method::GET, path)
    }

    /// Creates a `POST` request to `path`.
    pub fn post(peer: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(peer, Method::POST, path)
    }

    /// Creates a `DELETE` request for `path`.
    pub fn delete(peer: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(peer, Method::DELETE, path)
    }

    fn new(peer: SocketAddr, method: Method, path: impl Into<String>) -> Self {
        let path = path.into();
        Self {
            peer,
            method,
            path,
            key: None,
            body: Vec::new(),
            time_limit: Self::DEFAULT_TIMEOUT,
            meter: None,
        }
    }

    /// Sets the bearer token of the request.
    pub fn with_key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Sets the body of the request to `value`, encoded as JSON.
    pub fn with_json<T: Serialize>(mut self, value: &T) -> Result<Self, serde_json::Error> {
        self.body = serde_json::to_vec(value)?;
        Ok(self)
    }

    /// Sets the timeout. It applies to connecting and then again to the exchange of request and
    /// response, so a call takes up to twice as long.
    pub fn with_timeout(mut self, limit: Duration) -> Self {
        self.time_limit = limit;
        self
    }

    /// Counts the bytes of the call in `meter`.
    pub fn with_meter(mut self, meter: Arc<Meter>) -> Self {
        self.meter = Some(meter);
        self
    }

    pub(crate) fn time_limit(&self) -> Duration {
        self.time_limit
    }

    /// Sends the request over a new connection and waits for the whole response.
    pub async fn send(self) -> Result<Answer, CallError> {
        let (peer, limit) = (self.peer, self.time_limit);
        let mut conn = Connection::open_metered(peer, limit, self.meter.clone()).await?;
        conn.send(self).await
    }

    pub(crate) fn request(self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
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
