//! Follows the platform's roster.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_platform::{Presence, Roster, RosterSnapshot};
use cactuswheel_routing::Life;
use tokio::time::sleep;

use crate::shared::Shared;

/// Time between two reads of the roster.
const PERIOD: Duration = Duration::from_millis(500);

/// Takes the roster over as it changes, for as long as the task lives.
pub(crate) async fn watch(shared: Arc<Shared>) {
    let mut version = String::new();
    loop {
        let answer = shared.platform.changes(&version).await;
        if answer.is_ok() {
            shared.metrics.roster.mark();
        }
        match answer {
            Ok(changes) => {
                if !changes.is_empty() {
                    take(&shared, changes.apply(&shared.sightings.load()));
                }
                version = changes.version;
            }
            Err(e) => log::warn!("{e}"),
        }
        shared
            .routes
            .load()
            .upstreams()
            .for_each(|u| u.link.sweep());
        sleep(PERIOD).await;
    }
}

/// The newest sightings, with what upstreams themselves said of their leaving.
pub(crate) fn known(shared: &Shared) -> RosterSnapshot {
    let mut list = RosterSnapshot::clone(&shared.sightings.load());
    let presences = shared.presences();
    for seen in &mut list.instances {
        let life = presences.get(&seen.id);
        if life.is_some_and(|l| l.incarnation == seen.incarnation && l.leaving) {
            seen.presence = Presence::Leaving;
        }
    }
    list
}

/// Takes what the roster, or a peer in its place, lists.
pub(crate) fn take(shared: &Shared, list: RosterSnapshot) {
    let mut changed = false;
    let mut presences = shared.presences();
    for seen in &list.instances {
        let life = Life {
            incarnation: seen.incarnation,
            addr: seen.addr,
            leaving: seen.presence == Presence::Leaving,
        };
        changed |= presences.update(&seen.id, life);
    }
    drop(presences);
    shared.sightings.store(Arc::new(list));
    if changed {
        shared.reroute();
    }
}
