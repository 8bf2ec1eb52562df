//! Planned stops, in series and overlapping, while callers hold connections; no other fault.

use std::time::{Duration, Instant};

use cactuswheel_testkit::Rng;

use crate::line::Lines;
use crate::plan::{Action, Pick, draw_steps};
use crate::supervisor::{BALANCER_DELAY, Supervisor};
use crate::{Complaint, Flaw, Report, World};

/// Number of open connections for each node.
const LINES_PER_NODE: usize = 30;

/// Maximum number of open connections: their callers' jobs have to leave room on the workers.
const MAX_LINES: usize = 600;

/// Longest wait for the node that takes over from a stopped owner.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which the owner is looked up while it changes.
const OWNER_POLL: Duration = Duration::from_millis(10);

/// Stops and restarts nodes for `time` as drawn from `seed`, while callers hold connections; then
/// checks what callers and workers saw, and how each process ended.
pub async fn rolling(seed: u64, nodes: usize, time: Duration) -> Report {
    let mut world = World::start(nodes, seed).await;
    let mut rng = Rng::new(seed);
    let steps = draw_steps(&mut rng, time);
    let mut supervisor = Supervisor::new(&world, Rng::new(rng.next_u64()));
    let count = (nodes * LINES_PER_NODE).min(MAX_LINES);
    let lines = Lines::start(&world, &supervisor.targets, count, rng, time);
    let mut report = Report::default();
    let start = Instant::now();
    for step in steps {
        supervisor.run_for(&mut world, step.gap).await;
        let done = act(&mut world, &mut supervisor, step.action).await;
        report.faults.push(format!("{:?} {done}", start.elapsed()));
    }
    let left = time.saturating_sub(start.elapsed());
    supervisor.run_for(&mut world, left).await;
    let trail = lines.join().await;
    supervisor.settle(&mut world).await;
    report.violations.append(&mut supervisor.violations);
    let stops = &supervisor.stops;
    let counts = |c: &Complaint| c.flaw != Flaw::Closed || !c.is_late(stops, BALANCER_DELAY);
    report.add_trail(trail, start, stops, counts);
    report.stops = stops.len();
    report.finish(&mut world).await;
    report
}

/// Carries out an action; returns its description.
async fn act(world: &mut World, supervisor: &mut Supervisor, action: Action) -> String {
    let owner = world.owner();
    let mut nodes = match action {
        Action::Stop(pick) | Action::Hangup(pick) => Vec::from_iter(supervisor.pick(world, pick)),
        Action::StopOthers(pick) => {
            let kept = supervisor.pick(world, pick);
            let up = supervisor.up().into_iter();
            up.filter(|n| Some(*n) != kept).collect()
        }
        Action::StopSuccessor => stop_owners(world, supervisor).await,
        Action::Repeat(n) => {
            let stopping = supervisor.stopping();
            let index = n.checked_rem(stopping.len() as u64);
            Vec::from_iter(index.map(|i| stopping[i as usize]))
        }
        Action::Publish => {
            world.publish_config();
            Vec::new()
        }
    };
    match action {
        Action::Hangup(_) => nodes.iter().for_each(|n| world.nodes[*n].signal("HUP")),
        Action::Repeat(_) => nodes.iter().for_each(|n| world.nodes[*n].signal("TERM")),
        Action::StopSuccessor => {}
        _ => nodes.retain(|n| supervisor.stop(world, *n)),
    }
    format!("{action:?} of {nodes:?}, owner {owner:?}")
}

/// Stops the owner, and the node that takes over as soon as it has; returns those stopped.
async fn stop_owners(world: &mut World, supervisor: &mut Supervisor) -> Vec<usize> {
    let owner = supervisor.pick(world, Pick::Owner);
    let mut stopped = Vec::from_iter(owner.filter(|n| supervisor.stop(world, *n)));
    let start = Instant::now();
    while world.owner() == owner && start.elapsed() < SUCCESSOR_TIMEOUT {
        supervisor.run_for(world, OWNER_POLL).await;
    }
    let next = world.owner();
    stopped.extend(next.filter(|n| supervisor.stop(world, *n)));
    stopped
}
