//! Carries jobs on: reports in, placements out, workers told.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::{EntryId, JobEvent};
use cactuswheel_platform::{Log, Stream, TaskError, TaskId, Tasks};
use cactuswheel_scheduling::{Planner, is_leader};
use futures::StreamExt;
use tokio::time::{Instant, sleep};

use super::round;
use super::workers::{LEASE, StartedTasks, lost, unwanted};
use crate::Phase;
use crate::shared::Shared;

/// Time between two rounds.
const PERIOD: Duration = Duration::from_millis(500);

/// Age of a peer's beat from which the peer counts as gone.
const SILENCE: Duration = Duration::from_secs(4);

/// Reports taken over in one round.
const REPORTS: usize = 500;

/// Calls to worker control at once.
const CALLS: usize = 16;

/// Time between two renewals of leases.
const RENEWAL: Duration = Duration::from_millis(LEASE / 4);

/// Rounds for as long as the task lives, while this entry leads.
///
/// The leader only saves work: two entries that both lead propose the same things, and the
/// fold takes each once.
pub(crate) async fn drive(shared: Arc<Shared>) {
    let mut driver = Driver::new(shared.clone());
    loop {
        sleep(PERIOD).await;
        if shared.phase.get() == Phase::Ready && is_leader(&shared.settings.entry, &peers(&shared))
        {
            driver.round().await;
        }
    }
}

struct Driver {
    shared: Arc<Shared>,
    planner: Planner,
    tasks: StartedTasks,
    renewed: Instant,
}

impl Driver {
    fn new(shared: Arc<Shared>) -> Self {
        let (planner, tasks) = (Planner::default(), StartedTasks::default());
        Self {
            shared,
            planner,
            tasks,
            renewed: Instant::now(),
        }
    }

    async fn round(&mut self) {
        self.take_reports().await;
        self.place().await;
        self.start().await;
        self.stop(unwanted(&self.shared.state.load())).await;
        self.renew().await;
    }

    async fn take_reports(&mut self) {
        let state = self.shared.state.load_full();
        let from = state.jobs().next_report();
        let read = self
            .shared
            .platform
            .read(Stream::Tasks, from, REPORTS, Duration::ZERO)
            .await;
        let mut events = match read {
            Ok(batch) => round::report(&batch, &state, &mut self.planner),
            Err(e) => return log::warn!("reports of tasks: {e}"),
        };
        events.extend(lost(&state, &self.shared.sightings.load()));
        self.put(events).await;
    }

    async fn place(&mut self) {
        let state = self.shared.state.load_full();
        let seen = self.shared.sightings.load_full();
        let drained = self.shared.drained.load_full();
        let now = self.shared.now();
        let (events, stops) = round::place(&state, &seen, &drained, &mut self.planner, now);
        self.put(events).await;
        self.stop(stops).await;
    }

    /// Puts events in and waits for all of them, so that the next step sees what came of them.
    async fn put(&self, events: Vec<JobEvent>) {
        let puts = events.into_iter().map(|event| self.shared.jobs.put(event));
        for refusal in futures::future::join_all(puts)
            .await
            .into_iter()
            .filter_map(Result::err)
        {
            log::debug!("job event refused: {refusal}");
        }
    }

    async fn start(&mut self) {
        let orders = self.tasks.orders(&self.shared.state.load());
        let platform = &self.shared.platform;
        let calls = orders.into_iter().map(|order| async move {
            let told = platform.start(&order).await;
            (order.task, told)
        });
        let done: Vec<_> = futures::stream::iter(calls)
            .buffer_unordered(CALLS)
            .collect()
            .await;
        for (task, told) in done {
            match told {
                Ok(()) => self.tasks.start(task),
                // The roster tells the later life soon, and the attempt is lost then.
                Err(TaskError::Restarted) => log::info!("job {}: worker has restarted", task.job),
                Err(e) => log::warn!("job {}: {e}", task.job),
            }
        }
    }

    async fn stop(&self, tasks: Vec<TaskId>) {
        if tasks.is_empty() {
            return;
        }
        if let Err(e) = self.shared.platform.stop(&tasks).await {
            log::warn!("stopping {} tasks: {e}", tasks.len());
        }
    }

    async fn renew(&mut self) {
        let running = self.tasks.running(&self.shared.state.load());
        if running.is_empty() || self.renewed.elapsed() < RENEWAL {
            return;
        }
        match self.shared.platform.renew(&running, LEASE).await {
            Ok(()) => self.renewed = Instant::now(),
            Err(e) => log::warn!("leases: {e}"),
        }
    }
}

fn peers(shared: &Shared) -> Vec<EntryId> {
    let heard = shared.heard();
    let fresh = heard
        .iter()
        .filter(|(_, heard)| heard.at.elapsed() < SILENCE);
    fresh.map(|(entry, _)| entry.clone()).collect()
}
