//! A caller with a connection of its own.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::TEAM_KEY;

/// A keep-alive connection of a caller to an entry.
#[derive(Debug)]
pub struct Caller {
    sender: SendRequest<Full<Bytes>>,
}

/// What a caller gets.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The body, if it came whole.
    pub body: Option<Bytes>,
}

impl Reply {
    /// A header as text, empty if it is not there.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default()
    }

    /// The numbered code.
    pub fn code(&self) -> &str {
        self.header("x-cactuswheel-code")
    }

    /// What the entry says of the request's execution.
    pub fn ran(&self) -> &str {
        self.header("x-cactuswheel-ran")
    }

    /// The body as JSON.
    pub fn json(&self) -> Value {
        let body = self.body.as_deref().unwrap_or_default();
        serde_json::from_slice(body).unwrap_or(Value::Null)
    }
}

impl Caller {
    /// Connects to an entry.
    ///
    /// # Panics
    ///
    /// If there is no connection.
    pub async fn connect(at: SocketAddr) -> Self {
        Self::try_connect(at).await.expect("the entry listens")
    }

    /// Connects to an entry that may be gone.
    pub async fn try_connect(at: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(at).await.ok()?;
        let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(conn);
        Some(Self { sender })
    }

    /// Sends a request to the service `echo` with the team's key.
    pub async fn send(
        &mut self,
        method: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Reply, hyper::Error> {
        let mut request = Request::builder()
            .method(method)
            .uri("/s/echo/x")
            .header("host", "entry")
            .header("authorization", format!("Bearer {TEAM_KEY}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = Full::new(Bytes::from(body.to_owned()));
        let request = request.body(body).expect("the request is well formed");
        self.sender.ready().await?;
        let answer = self.sender.send_request(request).await?;
        let (head, body) = answer.into_parts();
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: body.collect().await.ok().map(|whole| whole.to_bytes()),
        })
    }
}
