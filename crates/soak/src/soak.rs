//! Injects random faults while callers submit jobs, then checks the results.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use cactuswheel_local::Faults;
use cactuswheel_testkit::Rng;
use serde_json::json;
use tokio::time::sleep;

use crate::disturbances::Disturbances;
use crate::job_book::Fate;
use crate::line::{Lines, Targets};
use crate::{AcceptedJob, Complaint, Flaw, Mode, Trail, World};

/// Number of concurrent callers.
const CALLERS: u64 = 4;

/// Number of open connections.
const LINES: usize = 60;

/// Result of one soak run.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of jobs accepted.
    pub jobs: usize,
    /// Injected faults in order, each with the time since the start of the run.
    pub faults: Vec<String>,
    /// Violated guarantees; empty if the run passed.
    pub violations: Vec<String>,
    /// Log lines of all nodes; empty if the run passed.
    pub logs: Vec<String>,
    /// Number of processes stopped by a planned stop.
    pub stops: usize,
    /// What callers on open connections have seen.
    pub trail: Trail,
}

impl Report {
    /// Adds what callers on open connections saw; the complaints for which `counts` is true are
    /// violations.
    pub(crate) fn add_trail(
        &mut self,
        mut trail: Trail,
        start: Instant,
        stops: &[(usize, Instant)],
        counts: impl Fn(&Complaint) -> bool,
    ) {
        trail.complaints.sort_by_key(|c| (c.flaw, c.sent));
        let counted = trail.complaints.iter().filter(|c| counts(c));
        let lines = counted.map(|c| c.describe(start, stops));
        self.violations.extend(lines);
        self.trail = trail;
    }

    /// Waits for the jobs and checks them and all runs; keeps the nodes' logs of a run that did not
    /// pass.
    pub(crate) async fn finish(&mut self, world: &mut World) {
        self.violations.extend(self.trail.jobs.settle(world).await);
        self.jobs = self.trail.jobs.accepted();
        // The end of a run is acknowledged to its worker shortly after its job is reported as
        // complete.
        sleep(Duration::from_secs(1)).await;
        let broken = world.platform.ledger(|l| l.violations.clone());
        self.violations.extend(broken);
        for node in &mut world.nodes {
            if node.has_failed() {
                let line = "a node exited with an error".to_owned();
                self.violations.push(line);
            }
        }
        if !self.violations.is_empty() {
            self.logs = world.nodes.iter().flat_map(|n| n.lines()).collect();
        }
    }
}

/// Runs callers for `time` under faults drawn from `seed`, ends all faults, and then checks that
/// each accepted job completes and that no guarantee was violated.
///
/// A request on an open connection may be cut only where an unplanned fault disturbed its node.
/// Refusals and closes are counted, not judged: a fault of one node may leave the cell without an
/// owner.
pub async fn soak(seed: u64, nodes: usize, time: Duration) -> Report {
    let mut world = World::start(nodes, seed).await;
    let mut rng = Rng::new(seed);
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = world.caller(number as usize);
            let rng = Rng::new(seed ^ (number + 1) << 32);
            tokio::spawn(submit_jobs(caller, rng, time))
        })
        .collect();
    let targets = Targets::new((0..nodes).collect::<Vec<_>>().into());
    let lines = Lines::start(&world, &targets, LINES, Rng::new(!seed), time);
    let mut report = Report::default();
    let mut disturbances = Disturbances::default();
    let mut disturbed = BTreeSet::new();
    let start = Instant::now();
    while start.elapsed() < time {
        sleep(Duration::from_millis(200 + rng.below(900))).await;
        let since = Instant::now();
        let fault = inject_fault(&mut world, &mut rng, &mut disturbed);
        disturbances.record(since, disturbed.clone());
        // Restores nodes after half of the faults, so that most faults end before the next but one
        // is injected, as most faults at customers do.
        if rng.chance(50) {
            restore_nodes(&mut world);
            disturbed.clear();
        }
        report.faults.push(format!("{:?} {fault}", start.elapsed()));
    }
    heal(&mut world);
    let mut trail = lines.join().await;
    for caller in callers {
        match caller.await {
            Ok(jobs) => {
                let accepted = jobs.iter();
                accepted.for_each(|j| trail.jobs.submitted(j, Fate::Accepted));
            }
            Err(e) => report.violations.push(format!("a caller task failed: {e}")),
        }
    }
    let counts = |c: &Complaint| match c.flaw {
        Flaw::Cut => !disturbances.excuse(c),
        Flaw::Wrong => true,
        Flaw::Refused | Flaw::Closed => false,
    };
    report.add_trail(trail, start, &[], counts);
    report.finish(&mut world).await;
    report
}

/// Submits random jobs, one after another, until `time` has passed.
async fn submit_jobs(mut caller: crate::Caller, mut rng: Rng, time: Duration) -> Vec<AcceptedJob> {
    let start = Instant::now();
    let mut accepted = Vec::new();
    while start.elapsed() < time {
        let queue = if rng.chance(60) { "/a/" } else { "/b/" };
        let steps: Vec<_> = (0..1 + rng.below(3))
            .map(|n| {
                let after: Vec<u64> = n.checked_sub(1).into_iter().collect();
                json!({ "count": 1 + rng.below(4), "cpu": 2000, "mem_mb": 100, "after": after,
                        "estimate_ms": 300 })
            })
            .collect();
        let spec = format!("work_ms={}", 50 + rng.below(500));
        let job = caller
            .submit(queue, rng.next_u64(), &json!(steps), &spec)
            .await;
        accepted.push(job);
        sleep(Duration::from_millis(rng.below(250))).await;
    }
    accepted
}

/// Injects one random fault, or ends all faults; returns its description. Each call replaces the
/// faults of the platform that the call before it has set. Adds the nodes that the fault disturbs
/// to `disturbed`.
fn inject_fault(world: &mut World, rng: &mut Rng, disturbed: &mut BTreeSet<usize>) -> String {
    let index = rng.below(world.nodes.len() as u64) as usize;
    let mut faults = Faults::default();
    let fault = match rng.below(12) {
        0 => {
            world.nodes[index].signal("KILL");
            "kill"
        }
        1 => {
            world.nodes[index].signal("STOP");
            "stop"
        }
        2 => {
            world.nodes[index].signal("TERM");
            "term"
        }
        3 => {
            let modes = [Mode::Stall, Mode::StallReplies, Mode::Reset, Mode::Delay];
            world.proxies[index].set_mode(*rng.pick(&modes));
            "store's link"
        }
        4 | 5 => {
            let pause = Duration::from_millis(100 + rng.below(1_500));
            world
                .platform
                .crash(index + rng.below(5) as usize, pause, rng.chance(50));
            "worker crash"
        }
        6 => {
            faults.store_down = true;
            "store down"
        }
        7 => {
            faults.lost_writes = 30;
            "lost writes"
        }
        8 => {
            faults.lost_orders = 20;
            "lost orders"
        }
        9 => {
            world.platform.compact();
            "compaction"
        }
        10 => {
            world.publish_config();
            "configuration"
        }
        _ => {
            heal(world);
            "all healed"
        }
    };
    world.platform.set_faults(faults);
    match fault {
        "kill" | "stop" | "store's link" => disturbed.extend([index]),
        "store down" | "lost writes" => disturbed.extend(0..world.nodes.len()),
        _ => {}
    }
    format!("{fault} at n{index}")
}

/// Resumes stopped nodes, restarts nodes that have exited, and ends the faults of all proxies.
fn restore_nodes(world: &mut World) {
    for node in &mut world.nodes {
        node.signal("CONT");
        node.start();
    }
    for proxy in &world.proxies {
        proxy.set_mode(Mode::Pass);
    }
}

/// Ends the faults of the platform, the nodes and the proxies.
fn heal(world: &mut World) {
    world.platform.set_faults(Faults::default());
    restore_nodes(world);
}
