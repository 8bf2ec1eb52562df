//! Snapshots of the fleet's state.

use cactuswheel_model::{Digest, Offset, SnapshotMark};

use crate::State;
use crate::snapshot_part::{FORMAT, PartHeader, encode};

/// Maximum size of the text of one part, in bytes; each part is one record of the snapshot stream.
const PART_BYTES: usize = 256 << 10;

/// Why a snapshot could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// A record of the stream is not a valid part of a snapshot.
    #[error("invalid snapshot part: {0}")]
    Part(String),
    /// The text does not have the digest that its parts state.
    #[error("snapshot digest mismatch")]
    Digest,
    /// The state could not be encoded or decoded.
    #[error("invalid snapshot state: {0}")]
    State(#[from] serde_json::Error),
    /// The state has another offset than the snapshot claims.
    #[error("snapshot claims offset {claimed}, but contains the state at {actual}")]
    Head {
        /// Offset that the snapshot claims.
        claimed: Offset,
        /// Offset of the state that it contains.
        actual: Offset,
    },
}

/// The state at one offset as JSON; the text is identical on every node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    head: Offset,
    text: String,
}

impl Snapshot {
    /// Encodes a state.
    pub fn of(state: &State) -> Result<Self, SnapshotError> {
        Ok(Self {
            head: state.next(),
            text: serde_json::to_string(state)?,
        })
    }

    /// Wraps text that was received from elsewhere and claims to contain the state at `head`;
    /// [`Snapshot::state`] checks the claim.
    pub fn from_text(head: Offset, text: String) -> Self {
        Self { head, text }
    }

    /// Offset below which all records are included.
    pub fn head(&self) -> Offset {
        self.head
    }

    /// The state as JSON.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The record that announces this snapshot in the fleet's log.
    pub fn mark(&self) -> SnapshotMark {
        SnapshotMark {
            head: self.head,
            digest: Digest::of(self.text.as_bytes()),
            size: self.text.len() as u64,
        }
    }

    /// Decodes the state.
    pub fn state(&self) -> Result<State, SnapshotError> {
        let state: State = serde_json::from_str(&self.text)?;
        if state.next() != self.head {
            return Err(SnapshotError::Head {
                claimed: self.head,
                actual: state.next(),
            });
        }
        Ok(state)
    }

    /// Splits the snapshot into records for the snapshot stream.
    pub fn parts(&self) -> Vec<String> {
        let mut texts = Vec::new();
        let mut rest = self.text.as_str();
        while !rest.is_empty() {
            let (part, left) = rest.split_at(split_point(rest));
            texts.push(part);
            rest = left;
        }
        let header = PartHeader {
            format: FORMAT,
            mark: self.mark(),
            part: 0,
            parts: texts.len() as u32,
        };
        let numbered = (0..).zip(texts);
        numbered
            .map(|(part, text)| {
                encode(
                    &PartHeader {
                        part,
                        ..header.clone()
                    },
                    text,
                )
            })
            .collect()
    }
}

/// Returns the length of the next part of `text`, at a character boundary.
fn split_point(text: &str) -> usize {
    let mut at = PART_BYTES.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}
