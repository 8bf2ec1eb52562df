//! Keeps each team near its share over all entries.

use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use cactuswheel_admission::Shares;
use cactuswheel_model::{EntryId, Share, TeamId, Time};
use cactuswheel_wire::Given;
use tokio::time::sleep;

use crate::shared::Shared;

/// Time between two samples of what runs here.
const PERIOD: Duration = Duration::from_millis(250);

/// Samples between two corrections.
const SAMPLES: u32 = 4;

/// Bytes a second that digests to all peers together may take.
const BUDGET: u64 = 2_000;

/// Bytes that one row takes on the wire, about.
const ROW: u64 = 16;

impl Shared {
    fn shares(&self) -> MutexGuard<'_, Shares> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Samples and corrects for as long as the task lives.
pub(crate) async fn balance(shared: Arc<Shared>) {
    loop {
        for _ in 0..SAMPLES {
            sleep(PERIOD).await;
            sample(&shared);
        }
        correct(&shared);
    }
}

fn sample(shared: &Shared) {
    let state = shared.state.load();
    let teams = || state.config().teams.values().map(|t| &t.id);
    let used: Vec<_> = {
        let holder = shared.holder();
        teams().map(|t| holder.units().used(t)).collect()
    };
    let waits = shared.lines.waiting_teams();
    let mut shares = shared.shares();
    for (team, used) in teams().zip(used) {
        shares.sample(team, used, waits.contains(team));
    }
}

fn correct(shared: &Shared) {
    let state = shared.state.load();
    let teams = &state.config().teams;
    let share = |team: &TeamId| teams.get(team).map_or(Share::new(1), |t| t.share);
    let factors = shared.shares().update_factors(shared.now(), share);
    shared.lines.correct(&factors);
}

/// What to tell a peer with the beat at `now`, if it is time for it.
pub(crate) fn told(shared: &Shared, now: Time) -> Option<Vec<Given>> {
    let shares = shared.shares();
    let rows: Vec<_> = shares
        .digest()
        .map(|(team, given)| Given {
            team: team.to_string(),
            slots: given.slots as i32,
            waits: given.waits,
        })
        .collect();
    let links = shared.settings.peers.len() as u64;
    let pause = rows.len() as u64 * ROW * links / BUDGET;
    let turn = (now.get() / 1_000).is_multiple_of(pause.max(1));
    (turn && !rows.is_empty()).then_some(rows)
}

/// Takes a peer's digest.
pub(crate) fn hear(shared: &Shared, entry: &EntryId, given: &[Given]) {
    let row = |g: &Given| {
        let team: TeamId = g.team.parse().ok()?;
        let slots = u32::try_from(g.slots).ok()?;
        let waits = g.waits;
        Some((team, cactuswheel_admission::TeamUsage { slots, waits }))
    };
    let digest = given.iter().filter_map(row).collect();
    shared
        .shares()
        .record_digest(shared.now(), entry.clone(), digest);
}
