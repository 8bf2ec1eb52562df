//! An open connection that sends one call after another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::meter::MeteredStream;
use crate::{Answer, Call, CallError, Meter};

/// Largest response body that a call accepts, in bytes.
const MAX_BODY: usize = 64 << 20;

/// An open HTTP connection to one peer.
#[derive(Debug)]
pub struct Connection {
    peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects to `peer` within `limit`.
    pub async fn open(peer: SocketAddr, limit: Duration) -> Result<Self, CallError> {
        Self::open_metered(peer, limit, None).await
    }

    pub(crate) async fn open_metered(
        peer: SocketAddr,
        limit: Duration,
        meter: Option<Arc<Meter>>,
    ) -> Result<Self, CallError> {
        let stream = match timeout(limit, TcpStream::connect(peer)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(CallError::NotSent(peer, e.to_string())),
            Err(_) => return Err(CallError::NotSent(peer, "connect timed out".into())),
        };
        let stream = TokioIo::new(MeteredStream::new(stream, meter));
        let (sender, conn) = http1::handshake(stream)
            .await
            .map_err(|e| CallError::NotSent(peer, e.to_string()))?;
        let driver = tokio::spawn(async move {
            // The call in flight reports why the connection broke.
            let _ = conn.await;
        });
        Ok(Self {
            peer,
            sender,
            driver,
        })
    }

    /// Sends a call and waits for the whole response. The peer that the call names is not used.
    ///
    /// Fails with [`CallError::NotSent`] if the connection was closed before the request was
    /// written.
    pub async fn send(&mut self, call: Call) -> Result<Answer, CallError> {
        let peer = self.peer;
        let limit = call.time_limit();
        match timeout(limit, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Unknown(peer, "timed out".into())),
        }
    }

    async fn exchange(&mut self, call: Call) -> Result<Answer, CallError> {
        let peer = self.peer;
        let unknown = |e: &dyn std::fmt::Display| CallError::Unknown(peer, e.to_string());
        let not_sent = |e: &dyn std::fmt::Display| CallError::NotSent(peer, e.to_string());
        let request = call.request().map_err(|e| not_sent(&e))?;
        self.sender.ready().await.map_err(|e| not_sent(&e))?;
        let sent = self.sender.try_send_request(request).await;
        let answer = sent.map_err(|mut e| match e.take_message() {
            Some(_) => not_sent(e.error()),
            None => unknown(e.error()),
        })?;
        let (status, headers) = (answer.status(), answer.headers().clone());
        let body = Limited::new(answer.into_body(), MAX_BODY);
        let body = body.collect().await.map_err(|e| unknown(&e))?.to_bytes();
        Ok(Answer {
            status,
            headers,
            body,
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
