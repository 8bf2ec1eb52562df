//! Runs the maintenance driver: its clock, what it sees of workers, and its effects.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactuswheel_maintenance::{
    Action, Activity, Driver, Order, OrderKind, RosterStatus, View, WorkerStatus,
};
use cactuswheel_model::{InstanceId, Map, Record};
use cactuswheel_platform as platform;
use cactuswheel_platform::{AppendPurpose, Presence, WorkerState, Workers};
use tokio::time::sleep;

use crate::Phase;
use crate::shared::Shared;

/// Time between two steps.
const PERIOD: Duration = Duration::from_millis(500);

/// Most looks at workers in one step, at about 70 bytes each, so that control stays within
/// its bandwidth. Entries further down in rank look less often.
const LOOKS: usize = 48;

/// Age of a peer's last beat beyond which it has no rank.
const PEER_AGE: Duration = Duration::from_secs(3);

/// Drives maintenance for as long as the task lives.
pub(crate) async fn drive(shared: Arc<Shared>) {
    let mut driver = Driver::new(shared.settings.maintenance.clone());
    let mut looks = WorkerLooks::default();
    loop {
        sleep(PERIOD).await;
        if shared.phase.get() != Phase::Ready {
            continue;
        }
        looks.refresh(&shared, &driver).await;
        for action in step(&shared, &mut driver, &looks) {
            // A slow answer holds up no other action; every one may be late or repeated.
            tokio::spawn(act(shared.clone(), action));
        }
    }
}

/// What worker control last said, refreshed a few instances at a time.
#[derive(Debug, Default)]
struct WorkerLooks {
    seen: Map<InstanceId, WorkerStatus>,
    /// Where the last refresh stopped.
    turn: usize,
}

impl WorkerLooks {
    async fn refresh(&mut self, shared: &Shared, driver: &Driver) {
        let watched = driver.instances_to_poll(&shared.state.load());
        self.seen.retain(|id, _| watched.contains(id));
        let most = (LOOKS / (rank(shared) as usize + 1)).max(1);
        let start = self.turn.checked_rem(watched.len()).unwrap_or(0);
        let (before, after) = watched.split_at(start);
        let asked: Vec<_> = [after, before].concat().into_iter().take(most).collect();
        self.turn = start + asked.len();
        match shared.platform.states(&asked).await {
            Ok(states) => {
                self.seen.retain(|id, _| !asked.contains(id));
                let looks = states.iter().map(|s| (s.id.clone(), look(s)));
                self.seen.extend(looks);
            }
            Err(e) => {
                // What was seen before may have changed since.
                self.seen.clear();
                log::debug!("{e}");
            }
        }
    }
}

fn step(shared: &Shared, driver: &mut Driver, looks: &WorkerLooks) -> Vec<Action> {
    let state = shared.state.load();
    let sightings = shared.sightings.load();
    let seen = sightings.instances.iter().map(|s| {
        let live = s.presence == Presence::Live;
        let incarnation = s.incarnation;
        (s.id.clone(), RosterStatus { incarnation, live })
    });
    let view = View {
        now: shared.now(),
        unix_time: wall(),
        entry: &shared.settings.entry,
        rank: rank(shared),
        state: &state,
        staleness: shared.metrics.roster.age(),
        roster: &seen.collect(),
        statuses: &looks.seen,
    };
    let actions = driver.step(&view);
    let waits = driver.wait_reasons(&view);
    let waits = waits.iter().map(ToString::to_string).collect();
    shared.waits.store(Arc::new(waits));
    actions
}

async fn act(shared: Arc<Shared>, action: Action) {
    let record = match action {
        Action::Propose(step) => Record::Disruption(step),
        Action::StartWave(wave) => Record::Wave(wave),
        Action::Order(order) => return obey(&shared, &order).await,
    };
    let body = match serde_json::to_string(&record) {
        Ok(body) => body,
        Err(e) => return log::error!("{record:?} has no text: {e}"),
    };
    if let Err(e) = shared.appender.append(AppendPurpose::Control, body).await {
        log::warn!("maintenance: {e}");
    }
}

async fn obey(shared: &Shared, order: &Order) {
    let what = platform::WorkerOrder {
        incarnation: order.incarnation,
        fence: order.fence,
    };
    let workers = &shared.platform;
    let done = match order.kind {
        OrderKind::Drain => workers.drain(&order.instance, what).await,
        OrderKind::Resume => workers.resume(&order.instance, what).await,
        OrderKind::Reboot => workers.reboot(&order.instance, what).await,
    };
    match done {
        Ok(()) => log::info!("{:?} of {}", order.kind, order.instance),
        Err(e) => log::warn!("{:?} of {}: {e}", order.kind, order.instance),
    }
}

/// Entries in contact whose names come before this one's.
fn rank(shared: &Shared) -> u32 {
    let heard = shared.heard();
    let fresh = heard.iter().filter(|(_, h)| h.at.elapsed() < PEER_AGE);
    fresh
        .filter(|(name, _)| **name < shared.settings.entry)
        .count() as u32
}

fn look(state: &WorkerState) -> WorkerStatus {
    WorkerStatus {
        incarnation: state.incarnation,
        activity: match state.activity {
            platform::Activity::Serving => Activity::Serving,
            platform::Activity::Draining(fence) => Activity::Draining(fence),
            platform::Activity::Down => Activity::Down,
        },
        running: state.running,
    }
}

/// Seconds since 1970.
pub(crate) fn wall() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}
