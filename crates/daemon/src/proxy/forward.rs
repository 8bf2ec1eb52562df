//! One attempt at an upstream.

use std::time::Duration;

use cactuswheel_model::{Code, Refusal};
use cactuswheel_routing::Lease;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{
    AUTHORIZATION, CONNECTION, HOST, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, UPGRADE,
};
use hyper::{Request, Response, Uri};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::answer::{Answer, REQUEST_ID, mark};
use super::held::Permit;

/// Time for a connection to an upstream.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Header that names the caller's team to the upstream.
const TEAM: &str = "x-cactuswheel-team";

/// Headers that belong to one connection and are not passed on.
const HOP_BY_HOP: [HeaderName; 6] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    UPGRADE,
];

/// Sends the request and gives back the head of the answer, its body to follow.
pub(super) async fn send(
    request: Request<Incoming>,
    path: &str,
    id: &str,
    permit: Permit,
    lease: Lease,
) -> Result<Response<Answer>, Refusal> {
    let addr = lease.upstream().addr;
    let request = rewrite(request, path, id, &permit, &lease)?;
    let unreachable =
        |e: &dyn std::fmt::Display| Refusal::new(Code::Unreachable).with_detail(e.to_string());
    let stream = match timeout(CONNECT_LIMIT, TcpStream::connect(addr)).await {
        Ok(stream) => stream.map_err(|e| unreachable(&e))?,
        Err(e) => return Err(unreachable(&e)),
    };
    let _ = stream.set_nodelay(true);
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| unreachable(&e))?;
    tokio::spawn(conn);
    let response = sender.try_send_request(request).await.map_err(|mut e| {
        // Given back unsent is the one proof that it did not run.
        let code = if e.take_message().is_some() {
            Code::Unreachable
        } else {
            Code::Lost
        };
        Refusal::new(code).with_detail(e.into_error().to_string())
    })?;
    let (mut head, body) = response.into_parts();
    strip(&mut head.headers);
    let mut response = Response::from_parts(
        head,
        Answer::Upstream {
            body,
            _held: (permit, lease),
        },
    );
    mark(&mut response, Code::Ok, id);
    Ok(response)
}

fn rewrite(
    request: Request<Incoming>,
    path: &str,
    id: &str,
    permit: &Permit,
    lease: &Lease,
) -> Result<Request<Incoming>, Refusal> {
    let bad = |e: &dyn std::fmt::Display| Refusal::new(Code::BadRequest).with_detail(e.to_string());
    let (mut head, body) = request.into_parts();
    head.uri = path.parse::<Uri>().map_err(|e| bad(&e))?;
    let headers = &mut head.headers;
    strip(headers);
    // The key is between the caller and us; the upstream is told the team.
    headers.remove(AUTHORIZATION);
    let text = |s: &str| HeaderValue::from_str(s).map_err(|e| bad(&e));
    headers.insert(TEAM, text(permit.team().as_str())?);
    headers.insert(REQUEST_ID, text(id)?);
    headers.insert(HOST, text(&lease.upstream().addr.to_string())?);
    Ok(Request::from_parts(head, body))
}

fn strip(headers: &mut HeaderMap) {
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}
