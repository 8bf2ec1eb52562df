//! Bounded reading of JSON bodies.

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

/// Largest JSON body accepted by a control server, in bytes.
pub const MAX_JSON: usize = 8 << 20;

/// Reads a whole body and decodes it; the error is a line for people.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, String> {
    let whole = Limited::new(body, MAX_JSON)
        .collect()
        .await
        .map_err(|e| e.to_string())?;
    serde_json::from_slice(&whole.to_bytes()).map_err(|e| e.to_string())
}
