//! Snapshots of the state.

use cactuswheel_model::{Digest, Offset, SnapshotMark};

use crate::State;
use crate::snapshot_part::{FORMAT, PartHeader, encode};

/// Bytes of one part; a record of the stream of snapshots holds one.
const PART_BYTES: usize = 256 << 10;

/// Why bytes are not a snapshot.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// A record of the stream is not a part of a snapshot.
    #[error("not a part of a snapshot: {0}")]
    Part(String),
    /// The bytes are not those that were written.
    #[error("digest differs")]
    Digest,
    /// The bytes do not decode.
    #[error("state: {0}")]
    State(#[from] serde_json::Error),
    /// The state is of another offset than was claimed.
    #[error("snapshot of {claimed} holds the state at {actual}")]
    Head {
        /// What was claimed.
        claimed: Offset,
        /// What it holds.
        actual: Offset,
    },
}

/// The state at one offset, as text; the same text on every node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    head: Offset,
    text: String,
}

impl Snapshot {
    /// Writes a state.
    pub fn of(state: &State) -> Result<Self, SnapshotError> {
        Ok(Self {
            head: state.next(),
            text: serde_json::to_string(state)?,
        })
    }

    /// Takes text that came from elsewhere and is claimed to hold the state at `head`.
    pub fn from_text(head: Offset, text: String) -> Self {
        Self { head, text }
    }

    /// It holds all records below this offset.
    pub fn head(&self) -> Offset {
        self.head
    }

    /// The text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The record that tells of this snapshot.
    pub fn mark(&self) -> SnapshotMark {
        SnapshotMark {
            head: self.head,
            digest: Digest::of(self.text.as_bytes()),
            size: self.text.len() as u64,
        }
    }

    /// Reads the state back.
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

    /// The records that make it up in the stream of snapshots.
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

/// Where to cut a part off `text` without cutting a character in two.
fn split_point(text: &str) -> usize {
    let mut at = PART_BYTES.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}
