//! One record of the stream of snapshots: a line of JSON, then raw text.

use cactuswheel_model::SnapshotMark;
use serde::{Deserialize, Serialize};

use crate::SnapshotError;

/// Format of the text; a node passes over formats that it does not know.
pub(crate) const FORMAT: u32 = 1;

/// Most parts that a snapshot may claim.
const MAX_PARTS: u32 = 4_096;

/// First line of a part.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PartHeader {
    pub(crate) format: u32,
    /// The whole snapshot.
    pub(crate) mark: SnapshotMark,
    /// Number of this part, from 0.
    ///
    /// Invariant: below `parts`.
    pub(crate) part: u32,
    /// Invariant: at most `MAX_PARTS`.
    pub(crate) parts: u32,
}

/// Writes a part.
pub(crate) fn encode(header: &PartHeader, text: &str) -> String {
    let line = serde_json::json!(header);
    format!("{line}\n{text}")
}

/// Reads a part.
pub(crate) fn decode(body: &str) -> Result<(PartHeader, &str), SnapshotError> {
    let invalid = |e: &str| SnapshotError::Part(e.to_owned());
    let (line, text) = body.split_once('\n').ok_or_else(|| invalid("no header"))?;
    let header: PartHeader = serde_json::from_str(line).map_err(|e| invalid(&e.to_string()))?;
    if header.format != FORMAT {
        return Err(invalid("unknown format"));
    }
    if header.parts > MAX_PARTS || header.part >= header.parts {
        return Err(invalid("impossible number"));
    }
    Ok((header, text))
}
