//! What a fresh node takes from a peer when the platform does not answer.

use cactuswheel_fleet::{Snapshot, SnapshotError, State};
use cactuswheel_model::Offset;
use cactuswheel_platform::RosterSnapshot;

/// A state and the sightings beside it: without addresses the state alone serves nobody.
#[derive(Debug)]
pub(crate) struct PeerSnapshot {
    pub(crate) head: Offset,
    /// The state's text, a line end, the sightings in JSON. JSON escapes line ends, so the
    /// first one is the border.
    pub(crate) text: String,
}

impl PeerSnapshot {
    /// Writes both.
    pub(crate) fn of(state: &State, sightings: &RosterSnapshot) -> Result<Self, SnapshotError> {
        let snapshot = Snapshot::of(state)?;
        let sightings = serde_json::to_string(sightings)?;
        Ok(Self {
            head: snapshot.head(),
            text: format!("{}\n{sightings}", snapshot.text()),
        })
    }

    /// Reads both back.
    pub(crate) fn read(&self) -> Result<(State, RosterSnapshot), SnapshotError> {
        let (state, sightings) = self.text.split_once('\n').unwrap_or_default();
        let state = Snapshot::from_text(self.head, state.to_owned()).state()?;
        Ok((state, serde_json::from_str(sightings)?))
    }
}
