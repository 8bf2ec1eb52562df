//! One keep-alive connection that sends small requests.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::stage::KEY;

/// Body of a request, and of its answer.
const BODY: &[u8] = &[b'x'; 256];

/// A connection to an entry or to an upstream.
#[derive(Debug)]
pub(crate) struct Client {
    sender: SendRequest<Full<Bytes>>,
}

impl Client {
    /// Connects.
    pub(crate) async fn connect(at: SocketAddr) -> Self {
        let stream = TcpStream::connect(at).await.expect("the peer listens");
        stream
            .set_nodelay(true)
            .expect("a TCP stream has the option");
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, conn) = handshake.expect("a connection needs no handshake");
        tokio::spawn(conn);
        Self { sender }
    }

    /// Sends one request and reads the whole answer; whether it is the right one.
    pub(crate) async fn send(&mut self) -> bool {
        let request = Request::post("/s/echo/x")
            .header("host", "bench")
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::new(Bytes::from_static(BODY)))
            .expect("the request is well formed");
        if self.sender.ready().await.is_err() {
            return false;
        }
        match self.sender.send_request(request).await {
            Ok(answer) => is_right(answer).await,
            Err(_) => false,
        }
    }
}

async fn is_right(answer: Response<hyper::body::Incoming>) -> bool {
    let status = answer.status();
    let body = answer.into_body().collect().await;
    status == StatusCode::OK && body.is_ok_and(|body| body.to_bytes() == BODY)
}
