//! Responses of control servers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use serde::Serialize;

/// Body of a response.
pub type Body = Full<Bytes>;

/// A response.
pub type Reply = Response<Body>;

/// A response with `value` as JSON; a response with status 500 if `value` cannot be encoded.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => reply(status, "application/json", body),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// A response in plain text.
pub fn text(status: StatusCode, body: impl Into<String>) -> Reply {
    reply(
        status,
        "text/plain; charset=utf-8",
        body.into().into_bytes(),
    )
}

fn reply(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    reply
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    reply
}
