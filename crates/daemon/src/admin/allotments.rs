//! Who holds how much of each team's limit.

use cactuswheel_fleet::{AllotmentRow, Split, State};
use cactuswheel_model::{LifeId, TeamId};
use serde::Serialize;

/// One team's split.
#[derive(Serialize)]
pub(super) struct TeamSplit<'a> {
    team: &'a TeamId,
    /// What requests may run over the whole fleet.
    limit: u32,
    /// What may be running, as far as entries have told.
    occupied: u32,
    /// Whether the limit holds; after it was lowered, once the entries above have told so.
    holds: bool,
    entries: Vec<EntryRow<'a>>,
}

#[derive(Serialize)]
struct EntryRow<'a> {
    life: &'a LifeId,
    #[serde(flatten)]
    row: &'a AllotmentRow,
}

/// All teams' splits.
pub(super) fn splits(state: &State) -> impl Iterator<Item = TeamSplit<'_>> {
    let splits = state.allotments().splits();
    splits.map(|(team, split)| TeamSplit {
        team,
        limit: split.limit(),
        occupied: split.occupied(),
        holds: split.occupied() <= split.limit(),
        entries: entries(split),
    })
}

fn entries(split: &Split) -> Vec<EntryRow<'_>> {
    let rows = split.rows();
    rows.map(|(life, row)| EntryRow { life, row }).collect()
}
