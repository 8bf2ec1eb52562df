//! Encoding of one record of the snapshot stream: a header line in JSON, then raw text.

use cactuswheel_model::SnapshotMark;
use serde::{Deserialize, Serialize};

use crate::SnapshotError;

/// Version of the encoding; a node skips parts of other versions.
pub(crate) const FORMAT: u32 = 1;

/// Maximum number of parts of one snapshot.
const MAX_PARTS: u32 = 4_096;

/// Header line of a part.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PartHeader {
    pub(crate) format: u32,
    /// Identifies the snapshot that the part belongs to.
    pub(crate) mark: SnapshotMark,
    /// Number of this part, from 0.
    ///
    /// Invariant: below `parts`.
    pub(crate) part: u32,
    /// Number of parts of the snapshot.
    ///
    /// Invariant: at most `MAX_PARTS`.
    pub(crate) parts: u32,
}

/// Encodes a part.
pub(crate) fn encode(header: &PartHeader, text: &str) -> String {
    let line = serde_json::json!(header);
    format!("{line}\n{text}")
}

/// Decodes a part.
pub(crate) fn decode(body: &str) -> Result<(PartHeader, &str), SnapshotError> {
    let invalid = |e: &str| SnapshotError::Part(e.to_owned());
    let (line, text) = body
        .split_once('\n')
        .ok_or_else(|| invalid("header line is missing"))?;
    let header: PartHeader = serde_json::from_str(line).map_err(|e| invalid(&e.to_string()))?;
    if header.format != FORMAT {
        return Err(invalid("unsupported format version"));
    }
    if header.parts > MAX_PARTS || header.part >= header.parts {
        return Err(invalid("part number out of range"));
    }
    Ok((header, text))
}
