//! Stand-in for the part of the platform that stops nodes, starts processes that have ended again
//! and probes readiness for the load balancer.

use std::time::{Duration, Instant};

use cactuswheel_http::Call;
use cactuswheel_testkit::Rng;
use tokio::time::sleep;

use crate::World;
use crate::line::{Targets, lock};
use crate::plan::Pick;

/// Time from SIGTERM until the platform kills the process.
const GRACE: Duration = Duration::from_secs(6);

/// Time from SIGTERM until the load balancer has removed the node: two probes, one a second.
pub(crate) const BALANCER_DELAY: Duration = Duration::from_secs(2);

/// Interval at which processes are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of a readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout for all nodes to be up again after the last stop.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// State of a node's process.
#[derive(Debug, Clone, Copy)]
enum Phase {
    /// Started, not ready yet.
    Starting,
    /// Ready.
    Up,
    /// Since this SIGTERM.
    Stopping(Instant),
    /// Ended; it is started again at this time.
    Down(Instant),
}

/// Stops and restarts the nodes of a world, and checks how each process ends.
pub(crate) struct Supervisor {
    /// The nodes in the load balancer's list.
    pub(crate) targets: Targets,
    /// Each SIGTERM that stopped a node: the node's index and the time.
    pub(crate) stops: Vec<(usize, Instant)>,
    /// What was wrong with the ends of processes.
    pub(crate) violations: Vec<String>,
    phases: Vec<Phase>,
    rng: Rng,
}

impl Supervisor {
    /// Takes over the nodes of a world, all of which are ready.
    pub(crate) fn new(world: &World, rng: Rng) -> Self {
        let phases = vec![Phase::Up; world.nodes.len()];
        let targets = (0..phases.len()).collect::<Vec<_>>();
        Self {
            targets: Targets::new(targets.into()),
            stops: Vec::new(),
            violations: Vec::new(),
            phases,
            rng,
        }
    }

    /// Index of the node that `pick` means; `None` if no node is up.
    pub(crate) fn pick(&self, world: &World, pick: Pick) -> Option<usize> {
        let up: Vec<usize> = self.nodes_where(|p| matches!(p, Phase::Up));
        let owner = || world.owner().filter(|o| up.contains(o));
        let any = |n: u64| up.get(n.checked_rem(up.len() as u64)? as usize).copied();
        match pick {
            Pick::Owner => owner().or_else(|| any(0)),
            Pick::Any(n) => any(n),
        }
    }

    /// The nodes that are stopping.
    pub(crate) fn stopping(&self) -> Vec<usize> {
        self.nodes_where(|p| matches!(p, Phase::Stopping(_)))
    }

    /// The nodes that are up.
    pub(crate) fn up(&self) -> Vec<usize> {
        self.nodes_where(|p| matches!(p, Phase::Up))
    }

    /// Sends SIGTERM to a node that is up, unless no other node is; returns whether it was sent.
    pub(crate) fn stop(&mut self, world: &mut World, node: usize) -> bool {
        let up = self.up();
        let stops = up.len() > 1 && up.contains(&node);
        if stops {
            // Signals may take long on a busy machine.
            self.update_targets();
            let now = Instant::now();
            self.phases[node] = Phase::Stopping(now);
            self.stops.push((node, now));
            world.nodes[node].signal("TERM");
        }
        stops
    }

    /// Looks after the processes for `time`.
    pub(crate) async fn run_for(&mut self, world: &mut World, time: Duration) {
        let start = Instant::now();
        loop {
            self.tick(world).await;
            let left = time.saturating_sub(start.elapsed());
            if left.is_zero() {
                return;
            }
            sleep(left.min(POLL_INTERVAL)).await;
        }
    }

    /// Looks after the processes until all nodes are up.
    pub(crate) async fn settle(&mut self, world: &mut World) {
        let start = Instant::now();
        while self.up().len() < self.phases.len() {
            if start.elapsed() > SETTLE_TIMEOUT {
                let line = format!("nodes are not up again: {:?}", self.phases);
                return self.violations.push(line);
            }
            self.run_for(world, POLL_INTERVAL).await;
        }
    }

    fn nodes_where(&self, matches: impl Fn(&Phase) -> bool) -> Vec<usize> {
        let nodes = self.phases.iter().enumerate();
        nodes.filter(|(_, p)| matches(p)).map(|(i, _)| i).collect()
    }

    async fn tick(&mut self, world: &mut World) {
        for index in 0..self.phases.len() {
            self.phases[index] = self.next_phase(world, index).await;
        }
        self.update_targets();
    }

    /// Lists the nodes that the load balancer gives new connections to.
    fn update_targets(&self) {
        let listed = self.nodes_where(|p| match p {
            Phase::Up => true,
            Phase::Stopping(since) => since.elapsed() < BALANCER_DELAY,
            _ => false,
        });
        *lock(&self.targets) = listed;
    }

    async fn next_phase(&mut self, world: &mut World, index: usize) -> Phase {
        let phase = self.phases[index];
        let node = &mut world.nodes[index];
        match phase {
            Phase::Down(due) if Instant::now() < due => phase,
            Phase::Down(_) => {
                node.start();
                Phase::Starting
            }
            _ if !node.is_running() => {
                let stopped = matches!(phase, Phase::Stopping(_));
                let last = node.last_words("node stopped");
                if !stopped || last["whole"] != "true" || !node.has_succeeded() {
                    let line = format!("n{index} ended in phase {phase:?}: {last}");
                    self.violations.push(line);
                }
                let pause = Duration::from_millis(200 + self.rng.below(1_000));
                Phase::Down(Instant::now() + pause)
            }
            Phase::Stopping(since) if since.elapsed() > GRACE => {
                let line = format!("n{index} is not stopped after {GRACE:?}");
                self.violations.push(line);
                node.signal("KILL");
                phase
            }
            Phase::Starting => {
                let call = Call::get(node.ready, "/v1/ready").with_timeout(PROBE_TIMEOUT);
                let ready = call.send().await.is_ok_and(|a| a.status.is_success());
                if ready { Phase::Up } else { phase }
            }
            _ => phase,
        }
    }
}
