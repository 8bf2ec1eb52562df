//! Planned stops of nodes that cannot reach the store, or while the ownership of the cell changes
//! hands. Callers use connections that were opened before the stop.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cactuswheel_local::Faults;
use cactuswheel_soak::{AcceptedJob, Exchange, Mode, Outcome, Session, World};
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until};

/// Requests, one on each connection.
const REQUESTS: u32 = 110;

/// Interval between requests; the last one is sent when the process has exited.
const INTERVAL: Duration = Duration::from_millis(52);

/// Grace time of the nodes' settings.
const GRACE: Duration = Duration::from_secs(6);

/// The load balancer removes a node after two failed probes, one second apart.
const LISTEN_MIN: Duration = Duration::from_secs(2);

/// A connection that is accepted later cannot stay idle for 2.5 s before the process exits, 0.5 s
/// before the end of the grace time.
const LISTEN_MAX: Duration = Duration::from_secs(3);

/// Expiry of an ownership on a fast link, and the usual duration of a takeover: how long a cell is
/// without an owner after a crash.
const CRASH_OUTAGE: Duration = Duration::from_millis(800 + 1_500);

/// How long a cell may be without an owner after a planned stop while the store is slow.
const SLOW_OUTAGE: Duration = Duration::from_secs(4);

/// A request and its end.
struct Request {
    sent: Duration,
    path: String,
    /// Id of the job that the request submits.
    new_job: Option<String>,
    exchange: Exchange,
}

/// Connections to a node, opened before its stop.
struct Callers {
    node: usize,
    sessions: Vec<Session>,
    job: AcceptedJob,
}

/// A node that is stopping, with its callers.
struct Stopping {
    node: usize,
    since: Instant,
    requests: Vec<JoinHandle<Request>>,
    listener: JoinHandle<Duration>,
}

/// What callers saw of a stopped node.
struct Stopped {
    node: usize,
    requests: Vec<Request>,
    /// When the node refused a connection.
    listened: Duration,
    exited: Duration,
    /// The line `node stopped`.
    last_line: Option<Value>,
}

/// A job with one short task.
fn short_job() -> Value {
    json!([{ "count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": 100 }])
}

/// Completes a job, whose state callers then read.
async fn completed_job(world: &World) -> AcceptedJob {
    let mut caller = world.caller(0);
    let job = caller.submit("/a/", 1, &short_job(), "work_ms=20").await;
    assert_eq!(caller.wait(&job).await.as_deref(), Ok("complete"));
    job
}

impl Callers {
    async fn open(world: &World, node: usize, job: &AcceptedJob) -> Self {
        let mut sessions = Vec::new();
        for _ in 0..REQUESTS {
            sessions.push(Session::open(world.nodes[node].callers).await);
        }
        let job = job.clone();
        Self {
            node,
            sessions,
            job,
        }
    }

    /// Begins to send requests, and to probe the listener. The node has just been stopped.
    fn start(self, world: &World) -> Stopping {
        self.start_before(world, Duration::ZERO)
    }

    /// Like [`Self::start`], but the node will be stopped after `lead`.
    fn start_before(self, world: &World, lead: Duration) -> Stopping {
        let start = Instant::now();
        let since = start + lead;
        let addr = world.nodes[self.node].callers;
        let listener = tokio::spawn(async move {
            while TcpStream::connect(addr).await.is_ok() {
                sleep(Duration::from_millis(25)).await;
            }
            since.elapsed()
        });
        let sessions = self.sessions.into_iter().enumerate();
        let requests = sessions.map(|(number, session)| {
            let at = start + INTERVAL * number as u32;
            let (path, new_job) = match number % 4 {
                0 | 2 => (self.job.path.clone(), None),
                1 => ("/a/".to_owned(), None),
                _ => {
                    let id = format!("{:016x}", 1_000 * (self.node + 1) + number);
                    (format!("/a/{id}"), Some(id))
                }
            };
            tokio::spawn(request(session, since, at, path, new_job))
        });
        Stopping {
            node: self.node,
            since,
            requests: requests.collect(),
            listener,
        }
    }
}

async fn request(
    mut session: Session,
    since: Instant,
    at: Instant,
    path: String,
    new_job: Option<String>,
) -> Request {
    sleep_until(at.into()).await;
    let sent = since.elapsed();
    let exchange = match new_job {
        Some(_) => {
            let body = json!({ "spec": "work_ms=20", "steps": short_job() });
            session.post(&path, &body).await
        }
        None => session.get(&path).await,
    };
    Request {
        sent,
        path,
        new_job,
        exchange,
    }
}

impl Stopping {
    /// Waits until the process has exited and every request has ended.
    async fn end(self, world: &mut World) -> Stopped {
        let process = &mut world.nodes[self.node];
        while process.is_running() && self.since.elapsed() < GRACE * 2 {
            sleep(Duration::from_millis(10)).await;
        }
        let exited = self.since.elapsed();
        let mut requests = Vec::new();
        for task in self.requests {
            requests.push(task.await.expect("a caller's task ends"));
        }
        let stopped = Stopped {
            node: self.node,
            requests,
            listened: self.listener.await.expect("the probe ends"),
            exited,
            last_line: process.log("node stopped").pop(),
        };
        println!("{}", stopped.summary());
        stopped
    }
}

impl Request {
    /// How the request ended: a status, or without a response.
    fn end(&self) -> String {
        match &self.exchange.outcome {
            Outcome::Answered(answer) => answer.status.as_u16().to_string(),
            Outcome::Closed => "closed".to_owned(),
            Outcome::Cut(_) => "cut".to_owned(),
        }
    }

    /// Whether the request was served, refused with a time to come back, or closed so early that
    /// the caller cannot have known. A new job's outcome may be in doubt if `doubt`.
    fn is_whole(&self, doubt: bool) -> bool {
        match &self.exchange.outcome {
            Outcome::Answered(answer) => {
                let body: Value = answer.json().unwrap_or_default();
                let in_doubt = answer.status == 504 && body["ran"] == "unknown";
                answer.status == 200
                    || self.exchange.is_refusal()
                    || (doubt && self.new_job.is_some() && in_doubt)
            }
            Outcome::Closed => true,
            Outcome::Cut(_) => false,
        }
    }
}

impl Stopped {
    /// Counts of the ends of reads and new jobs, and the times of the stop.
    fn summary(&self) -> String {
        let mut ends: BTreeMap<String, (usize, Duration)> = BTreeMap::new();
        for request in &self.requests {
            let kind = request.new_job.as_ref().map_or("read", |_| "job");
            let end = ends.entry(format!("{kind} {}", request.end())).or_default();
            *end = (end.0 + 1, end.1.max(request.exchange.took));
        }
        format!(
            "n{}: listened {:?}, exited {:?}, {ends:?}, {:?}",
            self.node, self.listened, self.exited, self.last_line
        )
    }

    /// Checks that no request was cut, that the listener was closed in time, and that the process
    /// exited within the grace time. `served` reads must have been answered; a new job's outcome
    /// may be in doubt if `doubt`.
    fn check(&self, world: &mut World, served: bool, doubt: bool) {
        let mut broken = Vec::new();
        for request in &self.requests {
            let refused = served && request.new_job.is_none() && request.exchange.is_refusal();
            if refused || !request.is_whole(doubt) {
                let Request { sent, path, .. } = request;
                let took = request.exchange.took;
                broken.push(format!("{sent:?} {path}: {} after {took:?}", request.end()));
            }
        }
        if !(LISTEN_MIN..=LISTEN_MAX).contains(&self.listened) {
            broken.push(format!("listened for {:?}", self.listened));
        }
        if self.exited > GRACE || world.nodes[self.node].has_failed() {
            broken.push(format!("exited after {:?}", self.exited));
        }
        let lines = world.nodes[self.node].lines();
        let lines = &lines[lines.len().saturating_sub(40)..];
        assert!(
            broken.is_empty(),
            "{}\n{broken:#?}\n{lines:#?}",
            self.summary()
        );
    }

    /// Checks that no read was refused that was sent after `back`, when the cell had an owner again.
    fn check_reads_after(&self, back: Duration) {
        let late = self.requests.iter().filter(|r| r.sent > back);
        let refused = late.filter(|r| r.new_job.is_none() && r.exchange.is_refusal());
        let refused: Vec<_> = refused.map(|r| r.sent).collect();
        assert_eq!(refused, Vec::<Duration>::new(), "sent after {back:?}");
    }

    /// Checks that accepted jobs complete and that refused ones never start.
    async fn check_jobs(&self, world: &World) {
        let mut caller = world.caller(self.node);
        let mut refused = Vec::new();
        for request in &self.requests {
            let Some(id) = &request.new_job else {
                continue;
            };
            let (path, id) = (request.path.clone(), id.clone());
            if request.exchange.status() == Some(200) {
                let job = AcceptedJob { path, id, tasks: 1 };
                assert_eq!(caller.wait(&job).await.as_deref(), Ok("complete"));
            } else if request.exchange.is_refusal() {
                refused.push(id);
            }
        }
        // A refused job that was stored after all would start within this time.
        sleep(Duration::from_secs(1)).await;
        for id in refused {
            let starts = world.platform.ledger(|l| l.start_count(&id));
            assert_eq!(starts, 0, "{id} was refused");
        }
        let broken = world.platform.ledger(|l| l.violations.clone());
        assert_eq!(broken, Vec::<String>::new());
    }
}

/// Stops the owner while `mode` acts on its link to the store. The cell must not be longer without
/// an owner than after a crash.
async fn stop_owner_behind(seed: u64, mode: Mode) {
    let mut world = World::start(3, seed).await;
    let job = completed_job(&world).await;
    let owner = world.owner().expect("a node owns the cell");
    let callers = Callers::open(&world, owner, &job).await;
    world.proxies[owner].set_mode(mode);
    world.nodes[owner].signal("TERM");
    let stopping = callers.start(&world);
    wait_next_owner(&world, owner, CRASH_OUTAGE).await;
    let stopped = stopping.end(&mut world).await;
    world.proxies[owner].set_mode(Mode::Pass);
    stopped.check_jobs(&world).await;
    stopped.check(&mut world, false, true);
}

/// Waits until a node other than `last` has taken the cell over.
async fn wait_next_owner(world: &World, last: usize, limit: Duration) -> Duration {
    let start = Instant::now();
    while world.owner().is_none_or(|n| n == last) {
        let lines: Vec<_> = world.nodes.iter().flat_map(|n| n.lines()).collect();
        assert!(start.elapsed() < limit, "no owner: {lines:#?}");
        sleep(Duration::from_millis(10)).await;
    }
    let outage = start.elapsed();
    println!("next owner after {outage:?}");
    outage
}

/// Guards against an owner whose stop is delayed by the release of its ownership until requests
/// are cut, when its link to the store carries nothing.
#[tokio::test(flavor = "multi_thread")]
async fn owner_stalled() {
    stop_owner_behind(31, Mode::Stall).await;
}

/// As `owner_stalled`, with a store that receives the owner's writes but not the owner its answers.
#[tokio::test(flavor = "multi_thread")]
async fn owner_unanswered() {
    stop_owner_behind(32, Mode::StallReplies).await;
}

/// Guards against jobs that are refused as not run although the stopped owner wrote them to the
/// journal: the answers to its writes are lost from 600 ms before its SIGTERM on.
#[tokio::test(flavor = "multi_thread")]
async fn unanswered_before() {
    let mut world = World::start(3, 49).await;
    let job = completed_job(&world).await;
    let owner = world.owner().expect("a node owns the cell");
    let callers = Callers::open(&world, owner, &job).await;
    world.proxies[owner].set_mode(Mode::StallReplies);
    let lead = Duration::from_millis(600);
    let stopping = callers.start_before(&world, lead);
    sleep(lead).await;
    world.nodes[owner].signal("TERM");
    wait_next_owner(&world, owner, CRASH_OUTAGE).await;
    let stopped = stopping.end(&mut world).await;
    world.proxies[owner].set_mode(Mode::Pass);
    stopped.check_jobs(&world).await;
    stopped.check(&mut world, false, true);
}

/// As `owner_stalled`, with a link that adds 120 ms in each direction.
#[tokio::test(flavor = "multi_thread")]
async fn owner_delayed() {
    stop_owner_behind(33, Mode::Delay).await;
}

/// As `owner_stalled`, with a store that refuses connections.
#[tokio::test(flavor = "multi_thread")]
async fn owner_reset() {
    stop_owner_behind(34, Mode::Reset).await;
}

/// Guards against reads that a stopping node refuses or cuts because its link to the store carries
/// nothing, although the owner on another node answers.
#[tokio::test(flavor = "multi_thread")]
async fn other_stalled() {
    let mut world = World::start(3, 35).await;
    let job = completed_job(&world).await;
    let node = (world.owner().expect("a node owns the cell") + 1) % 3;
    let callers = Callers::open(&world, node, &job).await;
    world.proxies[node].set_mode(Mode::Stall);
    world.nodes[node].signal("TERM");
    let stopped = callers.start(&world).end(&mut world).await;
    world.proxies[node].set_mode(Mode::Pass);
    stopped.check_jobs(&world).await;
    stopped.check(&mut world, true, true);
}

/// Guards against reads that a stopping node cuts because it cannot read who the owner is: its link
/// to the store carries nothing, and the owner is stopped after it.
#[tokio::test(flavor = "multi_thread")]
async fn other_blind() {
    let mut world = World::start(3, 44).await;
    let job = completed_job(&world).await;
    let owner = world.owner().expect("a node owns the cell");
    let node = (owner + 1) % 3;
    let callers = Callers::open(&world, node, &job).await;
    world.proxies[node].set_mode(Mode::Stall);
    world.nodes[node].signal("TERM");
    let stopping = callers.start(&world);
    sleep(Duration::from_millis(1_200)).await;
    world.nodes[owner].signal("TERM");
    let stopped = stopping.end(&mut world).await;
    world.proxies[node].set_mode(Mode::Pass);
    stopped.check_jobs(&world).await;
    stopped.check(&mut world, false, true);
}

/// Guards against reads that a stopping node refuses or cuts because the store is down, although
/// the owner on another node answers.
#[tokio::test(flavor = "multi_thread")]
async fn other_without_store() {
    let mut world = World::start(3, 45).await;
    let job = completed_job(&world).await;
    let node = (world.owner().expect("a node owns the cell") + 1) % 3;
    let callers = Callers::open(&world, node, &job).await;
    world.platform.set_faults(Faults {
        store_down: true,
        ..Faults::default()
    });
    world.nodes[node].signal("TERM");
    let stopped = callers.start(&world).end(&mut world).await;
    world.platform.set_faults(Faults::default());
    stopped.check_jobs(&world).await;
    stopped.check(&mut world, true, true);
}

/// Guards against a stopping owner that cuts requests while the store is down for all nodes.
#[tokio::test(flavor = "multi_thread")]
async fn owner_without_store() {
    let mut world = World::start(3, 36).await;
    let job = completed_job(&world).await;
    let owner = world.owner().expect("a node owns the cell");
    let callers = Callers::open(&world, owner, &job).await;
    world.platform.set_faults(Faults {
        store_down: true,
        ..Faults::default()
    });
    world.nodes[owner].signal("TERM");
    let stopped = callers.start(&world).end(&mut world).await;
    world.platform.set_faults(Faults::default());
    stopped.check_jobs(&world).await;
    stopped.check(&mut world, false, true);
}

/// Guards against a stopping owner that refuses or cuts requests while the store is slow for all
/// nodes: the next owner takes over as soon as the ownership is released.
#[tokio::test(flavor = "multi_thread")]
async fn store_slow() {
    let mut world = World::start(3, 37).await;
    let job = completed_job(&world).await;
    let owner = world.owner().expect("a node owns the cell");
    let callers = Callers::open(&world, owner, &job).await;
    for proxy in &world.proxies {
        proxy.set_mode(Mode::Delay);
    }
    world.nodes[owner].signal("TERM");
    let stopping = callers.start(&world);
    let outage = wait_next_owner(&world, owner, SLOW_OUTAGE).await;
    let stopped = stopping.end(&mut world).await;
    stopped.check_jobs(&world).await;
    stopped.check(&mut world, false, true);
    stopped.check_reads_after(outage);
}

/// Guards against a stopping owner that goes on refusing reads once its link to the store, which
/// carried nothing at its SIGTERM, is back.
#[tokio::test(flavor = "multi_thread")]
async fn link_back() {
    let mut world = World::start(3, 47).await;
    let job = completed_job(&world).await;
    let owner = world.owner().expect("a node owns the cell");
    let callers = Callers::open(&world, owner, &job).await;
    world.proxies[owner].set_mode(Mode::Stall);
    world.nodes[owner].signal("TERM");
    let stopping = callers.start(&world);
    wait_next_owner(&world, owner, CRASH_OUTAGE).await;
    world.proxies[owner].set_mode(Mode::Pass);
    let back = stopping.since.elapsed();
    let stopped = stopping.end(&mut world).await;
    stopped.check_jobs(&world).await;
    stopped.check(&mut world, false, true);
    stopped.check_reads_after(back);
}

/// Guards against a stopping node that loses track of the owner, or cuts reads, when the owner is
/// stopped 1.2 s after it while the store is slow.
#[tokio::test(flavor = "multi_thread")]
async fn series_slow() {
    let mut world = World::start(3, 48).await;
    let job = completed_job(&world).await;
    let owner = world.owner().expect("a node owns the cell");
    let node = (owner + 1) % 3;
    let callers = Callers::open(&world, node, &job).await;
    for proxy in &world.proxies {
        proxy.set_mode(Mode::Delay);
    }
    world.nodes[node].signal("TERM");
    let stopping = callers.start(&world);
    sleep(Duration::from_millis(1_200)).await;
    world.nodes[owner].signal("TERM");
    wait_next_owner(&world, owner, SLOW_OUTAGE).await;
    let back = stopping.since.elapsed();
    let stopped = stopping.end(&mut world).await;
    stopped.check_jobs(&world).await;
    stopped.check(&mut world, false, true);
    stopped.check_reads_after(back);
}

/// Guards against a node that never closes its listener because it waits for its first read of the
/// ownership while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn stop_at_start() {
    let mut world = World::start(3, 38).await;
    let job = completed_job(&world).await;
    let node = (world.owner().expect("a node owns the cell") + 1) % 3;
    world.nodes[node].signal("KILL");
    while world.nodes[node].is_running() {
        sleep(Duration::from_millis(5)).await;
    }
    world.proxies[node].set_mode(Mode::Reset);
    world.nodes[node].start();
    let waiting = "cannot read the ownership yet; retrying";
    while world.nodes[node].log(waiting).is_empty() {
        sleep(Duration::from_millis(10)).await;
    }
    let callers = Callers::open(&world, node, &job).await;
    world.nodes[node].signal("TERM");
    let stopped = callers.start(&world).end(&mut world).await;
    stopped.check(&mut world, false, false);
}

/// Guards against a cell that stays with a stopping owner because the answer to a renewal that was
/// under way at the stop is lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_renewal() {
    let mut world = World::start(3, 39).await;
    let job = completed_job(&world).await;
    let owner = world.owner().expect("a node owns the cell");
    let callers = Callers::open(&world, owner, &job).await;
    world.platform.set_faults(Faults {
        lost_writes: 100,
        ..Faults::default()
    });
    // A renewal is sent every 220 ms.
    sleep(Duration::from_millis(230)).await;
    world.nodes[owner].signal("TERM");
    let stopping = callers.start(&world);
    world.platform.set_faults(Faults::default());
    wait_next_owner(&world, owner, CRASH_OUTAGE).await;
    let stopped = stopping.end(&mut world).await;
    stopped.check_jobs(&world).await;
    stopped.check(&mut world, true, true);
    let released = world.nodes[owner].log("ownership released").len();
    assert_eq!(released, 1, "ownership released");
}

/// Waits until the nodes other than `except` have seen `epoch`; returns its owner.
async fn wait_claim(world: &World, epoch: u64, except: usize) -> usize {
    let start = Instant::now();
    loop {
        let nodes = world.nodes.iter().enumerate().filter(|(n, _)| *n != except);
        let seen = nodes.flat_map(|(_, n)| n.log("new owner of the cell"));
        if let Some(line) = seen.into_iter().find(|l| l["epoch"] == epoch) {
            let name = line["owner"].as_str().unwrap_or_default();
            return name[1..].parse().expect("nodes are named by their number");
        }
        assert!(start.elapsed() < Duration::from_secs(10), "no claim");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a cell that stays with a stopping node whose claim succeeds without its knowledge:
/// the answer is lost, and the node is stopped before it can read the ownership.
#[tokio::test(flavor = "multi_thread")]
async fn lost_claim() {
    let mut world = World::start(3, 40).await;
    let job = completed_job(&world).await;
    let owner = world.owner().expect("a node owns the cell");
    world.platform.set_faults(Faults {
        lost_writes: 100,
        ..Faults::default()
    });
    world.nodes[owner].signal("KILL");
    let node = wait_claim(&world, 2, owner).await;
    world.platform.set_faults(Faults::default());
    let callers = Callers::open(&world, node, &job).await;
    world.nodes[node].signal("TERM");
    let stopping = callers.start(&world);
    let start = Instant::now();
    wait_claim(&world, 3, node).await;
    let gap = start.elapsed();
    println!("next claim after {gap:?}");
    assert!(gap < CRASH_OUTAGE, "{gap:?}");
    let stopped = stopping.end(&mut world).await;
    stopped.check_jobs(&world).await;
    stopped.check(&mut world, false, true);
    let released = world.nodes[node].log("ownership released").len();
    assert_eq!(released, 1, "ownership released");
}

/// Guards against a cell that stays with a node that is stopped during its takeover, and against
/// requests cut there.
#[tokio::test(flavor = "multi_thread")]
async fn stop_in_takeover() {
    let mut world = World::with_settings(3, 41, |_| json!({ "link_mbps": 1 })).await;
    let job = completed_job(&world).await;
    let mut caller = world.caller(0);
    let unplaceable = json!([{ "count": 1, "cpu": 99_000, "mem_mb": 100, "estimate_ms": 200 }]);
    let spec = "x".repeat(4_000);
    for id in 10..70 {
        caller.submit("/a/", id, &unplaceable, &spec).await;
    }
    for proxy in &world.proxies {
        proxy.limit_rate(125_000);
    }
    let owner = world.owner().expect("a node owns the cell");
    world.nodes[owner].signal("KILL");
    let node = wait_claim(&world, 2, owner).await;
    sleep(Duration::from_millis(300)).await;
    let callers = Callers::open(&world, node, &job).await;
    world.nodes[node].signal("TERM");
    let stopping = callers.start(&world);
    assert_ne!(world.owner(), Some(node), "the takeover was over");
    let start = Instant::now();
    wait_claim(&world, 3, node).await;
    let gap = start.elapsed();
    println!("next claim after {gap:?}");
    let stopped = stopping.end(&mut world).await;
    stopped.check_jobs(&world).await;
    stopped.check(&mut world, false, true);
    let released = world.nodes[node].log("ownership released").len();
    assert_eq!(released, 1, "ownership released");
}

/// Guards against a stopping node that claims the cell of a killed owner, or that cuts reads because
/// it does not learn who took the cell over.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed() {
    let mut world = World::start(3, 46).await;
    let job = completed_job(&world).await;
    let owner = world.owner().expect("a node owns the cell");
    let node = (owner + 1) % 3;
    let callers = Callers::open(&world, node, &job).await;
    world.nodes[node].signal("TERM");
    let stopping = callers.start(&world);
    sleep(Duration::from_millis(500)).await;
    world.nodes[owner].signal("KILL");
    let next = wait_claim(&world, 2, owner).await;
    assert_ne!(next, node, "a stopping node has claimed the cell");
    wait_next_owner(&world, owner, CRASH_OUTAGE).await;
    let back = stopping.since.elapsed();
    let stopped = stopping.end(&mut world).await;
    stopped.check_jobs(&world).await;
    stopped.check(&mut world, false, true);
    stopped.check_reads_after(back);
}

/// Guards against a stop that further signals cut short, delay, or begin anew.
#[tokio::test(flavor = "multi_thread")]
async fn signals_again() {
    let mut world = World::start(3, 42).await;
    let job = completed_job(&world).await;
    let owner = world.owner().expect("a node owns the cell");
    let callers = Callers::open(&world, owner, &job).await;
    world.nodes[owner].signal("TERM");
    world.nodes[owner].signal("TERM");
    let stopping = callers.start(&world);
    let settings = world.nodes[owner].settings.clone();
    let text = std::fs::read_to_string(&settings).expect("the settings can be read");
    let changed = text.replace(r#""grace_s":6"#, r#""grace_s":7"#);
    assert_ne!(changed, text);
    for (signal, text) in [
        ("HUP", changed.as_str()),
        ("HUP", "{"),
        ("INT", &text),
        ("TERM", &text),
    ] {
        std::fs::write(&settings, text).expect("the settings can be written");
        world.nodes[owner].signal(signal);
        sleep(Duration::from_millis(600)).await;
    }
    let stopped = stopping.end(&mut world).await;
    assert_eq!(world.nodes[owner].log("node stopping").len(), 1);
    stopped.check_jobs(&world).await;
    stopped.check(&mut world, true, false);
}

/// Guards against requests that are cut, instead of refused, when all nodes are stopped at the same
/// time, and against accepted jobs that are lost until the nodes are back.
#[tokio::test(flavor = "multi_thread")]
async fn all_stopped() {
    let mut world = World::start(3, 43).await;
    let job = completed_job(&world).await;
    let mut callers = Vec::new();
    for node in 0..3 {
        callers.push(Callers::open(&world, node, &job).await);
    }
    let mut stopping = Vec::new();
    for callers in callers {
        world.nodes[callers.node].signal("TERM");
        stopping.push(callers.start(&world));
    }
    let mut stopped = Vec::new();
    for node in stopping {
        stopped.push(node.end(&mut world).await);
    }
    for node in &mut world.nodes {
        node.start();
    }
    for node in &stopped {
        node.check_jobs(&world).await;
    }
    for node in &stopped {
        node.check(&mut world, false, false);
    }
}
