//! Reads JSON bodies with a size limit.

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

/// Largest JSON body that [`read_json`] accepts, in bytes.
pub const MAX_JSON_BYTES: usize = 8 << 20;

/// Reads a whole body and decodes it. The error is a readable line that names the path of the
/// invalid value.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, String> {
    let collected = Limited::new(body, MAX_JSON_BYTES)
        .collect()
        .await
        .map_err(|e| e.to_string())?;
    parse_json(&collected.to_bytes())
}

/// Decodes JSON. The error is a readable line that names the path of the invalid value.
pub fn parse_json<T: DeserializeOwned>(text: &[u8]) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|e| match e.path() {
        path if path.iter().next().is_none() => e.inner().to_string(),
        path => format!("{path}: {}", e.inner()),
    })?;
    json.end().map_err(|e| e.to_string())?;
    Ok(value)
}
