//! One keep-alive connection that sends small requests.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
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
        self.ask("/s/s0/x", &[]).await == Some(0)
    }

    /// Sends one request; the code of a whole answer that is the right one or a refusal.
    pub(crate) async fn ask(
        &mut self,
        path: &str,
        headers: &[(&'static str, &'static str)],
    ) -> Option<u16> {
        let mut request = Request::post(path)
            .header("host", "bench")
            .header("authorization", format!("Bearer {KEY}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(Bytes::from_static(BODY)))
            .expect("the request is well formed");
        self.sender.ready().await.ok()?;
        let answer = self.sender.send_request(request).await.ok()?;
        let ok = answer.status() == StatusCode::OK;
        let code = answer.headers().get("x-cactuswheel-code");
        // Straight from an upstream there is none.
        let code = code.map_or(Some(0), |c| c.to_str().ok()?.parse().ok())?;
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        (!ok || body == BODY).then_some(code)
    }
}
