//! One HTTP call on a connection of its own, as a caller or a worker makes it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A whole response: its status and its body.
pub type Response = (u16, Bytes);

/// Sends a request and waits at most `limit` for the whole response. `None`: no response came.
pub async fn call(
    peer: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
    limit: Duration,
) -> Option<Response> {
    timeout(limit, exchange(peer, method, path, headers, body))
        .await
        .ok()?
}

async fn exchange(
    peer: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Option<Response> {
    let stream = TcpStream::connect(peer).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(async move {
        let _ = conn.await;
    });
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body))).ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    driver.abort();
    Some((status, body))
}
