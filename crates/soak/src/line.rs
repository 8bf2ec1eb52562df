//! Connections that callers hold: each is used, after pauses, until the node closes it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use cactuswheel_testkit::Rng;
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::job_book::Fate;
use crate::trail::{Request, Trail};
use crate::{AcceptedJob, Exchange, Outcome, Session, World};

/// Longest pause between the requests of a connection that is mostly idle, in milliseconds. Beyond
/// the time that a node takes to stop, so requests are sent at every moment of a stop.
const MAX_IDLE_MS: u64 = 6_000;

/// Longest pause between the requests of a busy connection, in milliseconds.
const MAX_BUSY_MS: u64 = 200;

/// Share of the busy connections, in percent.
const BUSY_SHARE: u32 = 10;

/// Pause before a new connection is opened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// The nodes that callers open connections to, by index; a load balancer's list.
pub(crate) type Targets = Arc<Mutex<Vec<usize>>>;

/// What the callers of one run have seen; its tasks share it.
pub(crate) type SharedTrail = Arc<Mutex<Trail>>;

/// A caller that holds one connection at a time.
struct Line {
    nodes: Arc<[SocketAddr]>,
    targets: Targets,
    trail: SharedTrail,
    rng: Rng,
    until: Instant,
    /// A job that no node has accepted yet, and its body.
    open_job: Option<(AcceptedJob, Value)>,
}

/// The open connections of one run.
pub(crate) struct Lines {
    tasks: Vec<JoinHandle<()>>,
    trail: SharedTrail,
}

impl Lines {
    /// Opens `count` connections to nodes in `targets` and uses them for `time`.
    pub(crate) fn start(
        world: &World,
        targets: &Targets,
        count: usize,
        mut rng: Rng,
        time: Duration,
    ) -> Self {
        let until = Instant::now() + time;
        let trail = SharedTrail::default();
        let nodes: Arc<[SocketAddr]> = world.nodes.iter().map(|n| n.callers).collect();
        let lines = (0..count).map(|_| Line {
            nodes: nodes.clone(),
            targets: targets.clone(),
            trail: trail.clone(),
            rng: Rng::new(rng.next_u64()),
            until,
            open_job: None,
        });
        let tasks = lines.map(|line| tokio::spawn(line.run())).collect();
        Self { tasks, trail }
    }

    /// Waits until the last request has ended; returns what the callers saw.
    ///
    /// # Panics
    ///
    /// If a caller's task failed.
    pub(crate) async fn join(self) -> Trail {
        for task in self.tasks {
            task.await.expect("a caller's task ends");
        }
        std::mem::take(&mut *lock(&self.trail))
    }
}

impl Line {
    async fn run(mut self) {
        while Instant::now() < self.until {
            let targets = lock(&self.targets).clone();
            let opened = Instant::now();
            if let Some(node) = targets.get(self.rng.below(targets.len() as u64) as usize) {
                match Session::connect(self.nodes[*node]).await {
                    Ok(session) => self.use_up(session, *node, opened).await,
                    Err(e) => {
                        let (outcome, took) = (Outcome::Closed, opened.elapsed());
                        let exchange = Exchange { outcome, took };
                        let request = Request::Connect;
                        lock(&self.trail).record(*node, opened, request, &e.to_string(), &exchange);
                    }
                }
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    /// Uses a connection until the node closes it.
    async fn use_up(&mut self, mut session: Session, node: usize, opened: Instant) {
        let busy = self.rng.chance(BUSY_SHARE);
        let max_pause = if busy { MAX_BUSY_MS } else { MAX_IDLE_MS };
        let mut open = true;
        while open {
            sleep(Duration::from_millis(self.rng.below(max_pause))).await;
            if Instant::now() >= self.until {
                return;
            }
            let (request, path, exchange) = self.send(&mut session, busy).await;
            open = exchange.keeps_open();
            lock(&self.trail).record(node, opened, request, &path, &exchange);
        }
    }

    async fn send(&mut self, session: &mut Session, busy: bool) -> (Request, String, Exchange) {
        let known = lock(&self.trail).jobs.recent(&mut self.rng);
        // Busy connections submit a smaller share: their jobs would fill the workers.
        let submits = if busy { 5 } else { 25 };
        match (known, self.rng.below(100)) {
            (Some(job), 30..35) => {
                let exchange = session.delete(&job.path).await;
                let fate = Fate::of(&exchange);
                lock(&self.trail).jobs.cancelled(&job.id, fate);
                (Request::Cancel, job.path, exchange)
            }
            (_, 35..55) => {
                let path = if self.rng.chance(50) { "/a/" } else { "/b/" };
                (Request::Queue, path.to_owned(), session.get(path).await)
            }
            (Some(job), draw) if draw >= submits => {
                let exchange = session.get(&job.path).await;
                (Request::State, job.path, exchange)
            }
            _ => {
                let (job, body) = self.open_job.take().unwrap_or_else(|| self.draw_job());
                let path = job.path.clone();
                let exchange = session.post(&path, &body).await;
                let fate = Fate::of(&exchange);
                lock(&self.trail).jobs.submitted(&job, fate);
                // Half of the jobs that were not accepted are submitted again later.
                if fate != Fate::Accepted && self.rng.chance(50) {
                    self.open_job = Some((job, body));
                }
                (Request::Submit, path, exchange)
            }
        }
    }

    fn draw_job(&mut self) -> (AcceptedJob, Value) {
        let rng = &mut self.rng;
        let id = format!("{:016x}", rng.next_u64());
        let queue = if rng.chance(60) { "/a/" } else { "/b/" };
        let tasks = 1 + rng.below(3);
        let steps = json!([{ "count": tasks, "cpu": 1000, "mem_mb": 100, "estimate_ms": 200 }]);
        let body = json!({ "spec": format!("work_ms={}", 20 + rng.below(300)), "steps": steps });
        let job = AcceptedJob {
            path: format!("{queue}{id}"),
            id,
            tasks: tasks as usize,
        };
        (job, body)
    }
}

/// Locks `mutex`, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
