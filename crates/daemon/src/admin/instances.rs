//! Instances as described and as seen.

use std::net::SocketAddr;

use cactuswheel_fleet::{Stage, State};
use cactuswheel_model::{Incarnation, Instance, InstanceId, Map};
use cactuswheel_platform::{Presence, RosterEntry, RosterSnapshot};
use serde::Serialize;

/// One instance.
#[derive(Serialize)]
pub(super) struct InstanceView<'a> {
    #[serde(flatten)]
    described: &'a Instance,
    /// What the platform's list says; `null` if it is not there.
    presence: Option<Presence>,
    incarnation: Option<Incarnation>,
    addr: Option<SocketAddr>,
    /// Stage of the outage that holds it; `null` if it is not held.
    outage: Option<&'static str>,
}

/// Shows every described instance beside its sighting.
pub(super) fn instances<'a>(
    state: &'a State,
    sightings: &'a RosterSnapshot,
) -> impl Iterator<Item = InstanceView<'a>> {
    let seen = by_id(sightings);
    let rows = state.config().instances.values();
    rows.map(move |described| {
        let sighting = seen.get(&described.id);
        InstanceView {
            described,
            presence: sighting.map(|s| s.presence),
            incarnation: sighting.map(|s| s.incarnation),
            addr: sighting.map(|s| s.addr),
            outage: state
                .disruptions()
                .outage(&described.id)
                .map(|h| stage(&h.stage)),
        }
    })
}

fn stage(stage: &Stage) -> &'static str {
    match stage {
        Stage::Draining(_) => "draining",
        Stage::Rebooting(_) => "rebooting",
        Stage::Arriving => "arriving",
        Stage::Lost => "lost",
    }
}

/// Roster entries by instance.
pub(super) fn by_id(sightings: &RosterSnapshot) -> Map<&InstanceId, &RosterEntry> {
    sightings.instances.iter().map(|s| (&s.id, s)).collect()
}
