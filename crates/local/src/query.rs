//! Requests to the platform.

use cactuswheel_model::Map;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::{Bytes, Incoming};

/// Path, query parameters and body of a request.
pub(crate) struct ParsedRequest {
    pub(crate) path: String,
    query: Map<String, String>,
    pub(crate) body: Bytes,
}

impl ParsedRequest {
    pub(crate) async fn read(request: Request<Incoming>) -> Self {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default();
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        let query = pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
        // A body that the caller does not complete counts as empty.
        let body = request.into_body().collect().await;
        let body = body.map(|b| b.to_bytes()).unwrap_or_default();
        Self { path, query, body }
    }

    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.query.get(name).map(String::as_str)
    }

    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}
