//! Planned stops of nodes that other nodes or callers are using: relays, owners, and nodes that
//! read a slow request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cactuswheel_http::Call;
use cactuswheel_soak::{AcceptedJob, Exchange, Outcome, Session, World};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// `grace_s` of the nodes, after which the platform kills a stopping node.
const GRACE: Duration = Duration::from_secs(6);

/// How long after its SIGTERM a relay without callers has exited and is known to be gone: it takes
/// connections for 2.3 s, and counts as silent 1.3 s after its last heartbeat.
const RELAY_GONE: Duration = Duration::from_millis(4_500);

/// Time between two looks at a job or a node.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Pause of a caller between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(5);

/// Timeout for a job to complete.
const JOB_TIMEOUT: Duration = Duration::from_secs(20);

/// Jobs that a caller submits one after another.
#[derive(Debug, Clone, Copy)]
struct Load {
    tasks: usize,
    /// Thousandths of a core for each task; a worker has 16 cores.
    cpu: u32,
    work: Duration,
    /// How many times as long as a task the job takes on a quarter of the workers' room.
    waves: u32,
    pause: Duration,
}

/// Jobs of one short task.
const TINY: Load = Load {
    tasks: 1,
    cpu: 1_000,
    work: Duration::from_millis(50),
    waves: 1,
    pause: CALL_INTERVAL,
};

/// Jobs of one task; a caller always has one running.
const SMALL: Load = Load {
    work: Duration::from_millis(400),
    pause: Duration::ZERO,
    ..TINY
};

/// Jobs that need several workers, which are idle before the next job.
const WIDE: Load = Load {
    tasks: 6,
    cpu: 8_000,
    work: Duration::from_millis(150),
    waves: 3,
    pause: Duration::from_millis(600),
};

/// Jobs that run while all stops go on.
const LONG: Load = Load {
    tasks: 3,
    work: Duration::from_secs(7),
    ..TINY
};

impl Load {
    fn steps(self) -> Value {
        json!([{
            "count": self.tasks, "cpu": self.cpu, "mem_mb": 100,
            "estimate_ms": self.work.as_millis() as u64,
        }])
    }

    fn spec(self) -> String {
        format!("work_ms={}", self.work.as_millis())
    }

    fn body(self) -> Value {
        json!({ "spec": self.spec(), "steps": self.steps() })
    }

    /// Time from sending a job until it should be shown as complete: `stretch` times its longest
    /// chain of work and `target_latency_ms` more.
    fn objective(self) -> Duration {
        (self.work * self.waves).mul_f64(1.6) + Duration::from_millis(600)
    }
}

/// A job that was accepted under this id.
fn accepted(id: &str, tasks: usize) -> AcceptedJob {
    let (path, id) = (format!("/a/{id}"), id.to_owned());
    AcceptedJob { path, id, tasks }
}

fn state_of(exchange: &Exchange) -> String {
    let Outcome::Answered(answer) = &exchange.outcome else {
        return String::new();
    };
    let body: Value = answer.json().unwrap_or_default();
    body["state"].as_str().unwrap_or_default().to_owned()
}

/// A job of a load, as its caller saw it.
#[derive(Debug)]
struct JobRun {
    job: AcceptedJob,
    load: Load,
    sent: Instant,
    /// Time from sending it until it was shown as complete.
    took: Duration,
}

/// Submits jobs to a node on one connection until `end`, and waits for each to complete. Every
/// request must be answered with 200.
async fn run_jobs(node: SocketAddr, first: u64, load: Load, end: Instant) -> Vec<JobRun> {
    let mut session = Session::open(node).await;
    let mut runs = Vec::new();
    for number in first.. {
        if Instant::now() >= end {
            break;
        }
        let job = accepted(&format!("{number:016x}"), load.tasks);
        let sent = Instant::now();
        let posted = session.post(&job.path, &load.body()).await;
        assert_eq!(posted.status(), Some(200), "{}: {posted:?}", job.path);
        while sent.elapsed() < JOB_TIMEOUT {
            let polled = session.get(&job.path).await;
            assert_eq!(polled.status(), Some(200), "{}: {polled:?}", job.path);
            if state_of(&polled) == "complete" {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        let took = sent.elapsed();
        runs.push(JobRun {
            job,
            load,
            sent,
            took,
        });
        sleep(load.pause).await;
    }
    runs
}

/// Nodes with links that fit orders to one worker each. Waits until relays are taken and one of
/// them carries orders.
async fn world_with_relays(count: usize, seed: u64) -> World {
    let world = World::with_settings(count, seed, |_| json!({ "link_mbps": 0.2 })).await;
    let start = Instant::now();
    while world.log("relay taken").len() < 2 || relay(&world, &[]).is_none() {
        assert!(start.elapsed() < Duration::from_secs(10), "no two relays");
        sleep(Duration::from_millis(50)).await;
    }
    // By then, calls from the owner directly to workers have finished.
    sleep(Duration::from_secs(1)).await;
    world
}

/// A node that carries orders of the current owner and is not in `stopped`.
fn relay(world: &World, stopped: &[usize]) -> Option<usize> {
    let epochs = world.log("cell taken over").into_iter();
    let epoch = epochs.filter_map(|l| l["epoch"].as_u64()).max()?;
    let carries = |n: &usize| {
        let lines = world.nodes[*n].log("orders are carried for an owner");
        lines.iter().any(|l| l["epoch"] == epoch) && !stopped.contains(n)
    };
    (0..world.nodes.len()).find(carries)
}

/// Which node is stopped.
#[derive(Debug, Clone, Copy)]
enum Victim {
    Owner,
    Relay,
}

/// Stops nodes while jobs run, each that long after the load began. Callers are on a node that is
/// neither owner nor relay at the start.
///
/// Checks that each job that was not complete before the first stop completes within its objective,
/// that no task starts more than once, and that no run is lost.
async fn stop_while_jobs_run(world: &mut World, stops: &[(Victim, Duration)]) {
    let first = [world.owner(), relay(world, &[])];
    let front = (0..world.nodes.len()).rfind(|n| !first.contains(&Some(*n)));
    let front = front.expect("a node is neither");
    let mut caller = world.caller_of(front);
    let long = caller.submit("/b/", 1, &LONG.steps(), &LONG.spec()).await;
    let start = Instant::now();
    let end = start + stops.last().map_or(Duration::ZERO, |(_, at)| *at) + RELAY_GONE;
    let mut load = JoinSet::new();
    let node = world.nodes[front].callers;
    for n in 1..=7 {
        let jobs = if n == 7 { WIDE } else { SMALL };
        load.spawn(run_jobs(node, n << 32, jobs, end));
    }
    let mut stopped = vec![front];
    for (victim, at) in stops {
        sleep(at.saturating_sub(start.elapsed())).await;
        let node = match victim {
            Victim::Owner => world.owner(),
            Victim::Relay => relay(world, &stopped),
        };
        let node = node.expect("there is one");
        assert_ne!(node, front, "callers' node");
        world.nodes[node].signal("TERM");
        stopped.push(node);
    }
    let runs: Vec<_> = load.join_all().await.into_iter().flatten().collect();
    assert_eq!(caller.wait(&long).await.as_deref(), Ok("complete"));
    let violations = world.platform.ledger(|l| l.violations.clone());
    assert_eq!(violations, Vec::<String>::new());
    for job in runs.iter().map(|r| &r.job).chain([&long]) {
        let starts = world.platform.ledger(|l| l.start_count(&job.id));
        assert_eq!(starts as usize, job.tasks, "starts of {}", job.path);
    }
    assert_eq!(world.log("run lost"), Vec::<Value>::new());
    let first_stop = start + stops[0].1;
    let late = runs
        .iter()
        .filter(|r| r.sent + r.took > first_stop && r.took > r.load.objective());
    let late: Vec<&JobRun> = late.collect();
    assert!(
        late.is_empty(),
        "{} of {}: {late:#?}",
        late.len(),
        runs.len()
    );
}

/// Guards against orders and reports that are lost with a relay that is stopped: jobs would
/// complete late, and runs would count as lost.
#[tokio::test(flavor = "multi_thread")]
async fn relay_stopped() {
    let mut world = world_with_relays(4, 41).await;
    let stops = [(Victim::Relay, Duration::from_secs(2))];
    stop_while_jobs_run(&mut world, &stops).await;
}

/// Guards against workers that no relay serves when the relay that takes over from a stopping one
/// is stopped next.
#[tokio::test(flavor = "multi_thread")]
async fn relays_in_series() {
    let mut world = world_with_relays(5, 42).await;
    let stops = [
        (Victim::Relay, Duration::from_secs(2)),
        (Victim::Relay, Duration::from_millis(3_200)),
    ];
    stop_while_jobs_run(&mut world, &stops).await;
}

/// Guards against orders that a stopping relay carries for an owner that is stopped as well: they
/// would start a task beside its run under the next owner, or be lost.
#[tokio::test(flavor = "multi_thread")]
async fn relay_then_owner() {
    let mut world = world_with_relays(4, 43).await;
    let stops = [
        (Victim::Relay, Duration::from_secs(2)),
        (Victim::Owner, Duration::from_millis(2_300)),
    ];
    stop_while_jobs_run(&mut world, &stops).await;
}

/// What a request asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ask {
    State,
    Queue,
    Submit,
}

/// A request and how it ended.
#[derive(Debug)]
struct Sent {
    ask: Ask,
    /// Id of the job; empty for a queue.
    id: String,
    end: Exchange,
}

/// Addresses of the nodes that the load balancer gives new connections to.
type Ready = Arc<Mutex<Vec<Option<SocketAddr>>>>;

fn lock(ready: &Ready) -> MutexGuard<'_, Vec<Option<SocketAddr>>> {
    ready.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Opens a connection to the ready node after `last`.
async fn connect(ready: &Ready, last: usize) -> (usize, Session) {
    let (node, addr) = {
        let nodes = lock(ready);
        let turns = (1..=nodes.len()).map(|n| (last + n) % nodes.len());
        let mut ready = turns.filter_map(|n| Some((n, nodes[n]?)));
        ready.next().expect("a node is ready")
    };
    (node, Session::open(addr).await)
}

/// Sends requests until `end`, on a connection that it keeps until the node closes it. One in
/// sixteen submits a job, and the others read the first job's state or the queue.
async fn call_on(ready: Ready, first: u64, end: Instant) -> Vec<Sent> {
    let (mut node, mut session) = connect(&ready, first as usize).await;
    let mut sent = Vec::new();
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let (ask, id) = match number % 16 {
            0 => (Ask::Submit, format!("{:016x}", (first << 32) + number)),
            5 | 10 => (Ask::Queue, String::new()),
            _ => (Ask::State, format!("{:016x}", first << 32)),
        };
        let path = format!("/a/{id}");
        let end = match ask {
            Ask::Submit => session.post(&path, &TINY.body()).await,
            Ask::State | Ask::Queue => session.get(&path).await,
        };
        let open = match &end.outcome {
            Outcome::Answered(answer) => !answer.headers.contains_key("connection"),
            Outcome::Closed | Outcome::Cut(_) => false,
        };
        sent.push(Sent { ask, id, end });
        if !open {
            (node, session) = connect(&ready, node).await;
        }
        sleep(CALL_INTERVAL).await;
    }
    sent
}

/// Checks that no request was cut and no read refused, that accepted jobs ran once, and that jobs
/// refused as not run did not run. Allows a submission whose outcome the response calls unknown.
async fn check_calls(world: &World, front: usize, sent: &[Sent]) {
    let mut caller = world.caller_of(front);
    let mut wrong = Vec::new();
    for request in sent {
        let status = request.end.status();
        let served = match request.ask {
            Ask::Submit => status.is_none_or(|s| s == 504 || s == 200 || request.end.is_refusal()),
            Ask::State | Ask::Queue => status.is_none_or(|s| s == 200),
        };
        if !served || request.end.is_cut() {
            wrong.push(format!("{request:?}"));
        }
        if request.ask == Ask::Submit && status == Some(200) {
            let state = caller.wait(&accepted(&request.id, 1)).await;
            let starts = world.platform.ledger(|l| l.start_count(&request.id));
            if state.as_deref() != Ok("complete") || starts != 1 {
                wrong.push(format!("{state:?}, {starts} starts: {request:?}"));
            }
        }
    }
    for request in sent.iter().filter(|s| s.ask == Ask::Submit) {
        let starts = world.platform.ledger(|l| l.start_count(&request.id));
        if request.end.is_refusal() && starts > 0 {
            wrong.push(format!("{starts} starts: {request:?}"));
        }
    }
    let statuses = |ask, status| {
        let asked = sent.iter().filter(|s| s.ask == ask);
        asked.filter(|s| s.end.status() == Some(status)).count()
    };
    let submits = [200, 503, 504].map(|status| statuses(Ask::Submit, status));
    println!("{} requests, jobs 200, 503, 504: {submits:?}", sent.len());
    wrong.extend(world.platform.ledger(|l| l.violations.clone()));
    assert!(
        wrong.is_empty(),
        "{}: {:#?}",
        wrong.len(),
        &wrong[..wrong.len().min(8)]
    );
}

/// Stops the current owner `times` times, at least `gap` apart, while callers on all nodes send
/// requests. A node that has exited is started again.
async fn stop_owners(seed: u64, nodes: usize, times: usize, gap: Duration) {
    let mut world = World::start(nodes, seed).await;
    let ready = world.nodes.iter().map(|n| Some(n.callers)).collect();
    let ready: Ready = Arc::new(Mutex::new(ready));
    let mut next_stop = Instant::now() + Duration::from_millis(500);
    let end = next_stop + gap * times as u32 + Duration::from_secs(4);
    let mut load = JoinSet::new();
    for first in 1..=8 {
        load.spawn(call_on(ready.clone(), first, end));
    }
    let mut stopped = Vec::new();
    let mut down = vec![false; nodes];
    while Instant::now() < end {
        let owner = world.owner().expect("a node owns the cell");
        let due = stopped.len() < times && Instant::now() >= next_stop;
        if due && stopped.last() != Some(&owner) {
            lock(&ready)[owner] = None;
            world.nodes[owner].signal("TERM");
            stopped.push(owner);
            down[owner] = true;
            next_stop += gap;
        }
        for (number, node) in world.nodes.iter_mut().enumerate() {
            if down[number] && !node.is_running() {
                node.start();
                down[number] = false;
            }
            if !down[number] && lock(&ready)[number].is_none() {
                let answer = Call::get(node.ready, "/v1/ready").send().await;
                let is_ready = answer.is_ok_and(|a| a.status == 200);
                lock(&ready)[number] = is_ready.then_some(node.callers);
            }
        }
        sleep(POLL_INTERVAL).await;
    }
    assert_eq!(stopped.len(), times, "{stopped:?}");
    let sent: Vec<Sent> = load.join_all().await.into_iter().flatten().collect();
    let front = lock(&ready).iter().position(Option::is_some);
    check_calls(&world, front.expect("a node is ready"), &sent).await;
}

/// Guards against requests that are cut or refused, and jobs that are lost or run twice, when each
/// new owner is stopped shortly after its takeover, while the earlier ones are still stopping.
#[tokio::test(flavor = "multi_thread")]
async fn owners_overlapping() {
    stop_owners(44, 5, 3, Duration::from_millis(300)).await;
}

/// Guards against the same over a rolling restart that hits one owner after another.
#[tokio::test(flavor = "multi_thread")]
async fn owners_in_series() {
    stop_owners(45, 6, 5, Duration::from_millis(1_200)).await;
}

/// Guards against cancels that end without a response on a node that is being stopped, and against
/// refusals that are untrue.
#[tokio::test(flavor = "multi_thread")]
async fn cancels_answered() {
    const JOBS: u64 = 24;
    let mut world = World::start(3, 46).await;
    let owner = world.owner().expect("a node owns the cell");
    let stopped = [owner, (owner + 1) % 3];
    let mut caller = world.caller_of((owner + 2) % 3);
    let steps = json!([{
        "count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 200, "long_running": true,
    }]);
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let job = caller.submit("/a/", number, &steps, "lasts=1").await;
        let node = world.nodes[stopped[number as usize % 2]].callers;
        jobs.push((job, Session::open(node).await));
    }
    let start = Instant::now();
    let mut cancels = JoinSet::new();
    for (number, (job, mut session)) in jobs.into_iter().enumerate() {
        let at = GRACE.as_millis() as i64 * number as i64 / JOBS as i64;
        cancels.spawn(async move {
            sleep_until(start, at).await;
            let end = session.delete(&job.path).await;
            (job, at, end)
        });
    }
    for (node, at) in stopped.into_iter().zip([0, 300]) {
        sleep_until(start, at).await;
        world.nodes[node].signal("TERM");
    }
    let cancels = cancels.join_all().await;
    let mut wrong = Vec::new();
    for (job, at, end) in &cancels {
        let cancelled = match end.status() {
            Some(200) => caller.wait(job).await.as_deref() == Ok("cancelled"),
            _ => false,
        };
        let state = caller.job_status(&job.path).await;
        let untrue = match end.status() {
            Some(200) => !cancelled,
            _ => end.is_refusal() && state.is_none_or(|(_, state)| state == "cancelled"),
        };
        if untrue || end.is_cut() {
            wrong.push(format!("{} at {at}: {end:?}", job.path));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    let acks = cancels.iter().filter(|c| c.2.status() == Some(200)).count();
    assert!(acks > 0, "no cancel was accepted");
}

/// Waits until `ms` after `start`.
async fn sleep_until(start: Instant, ms: i64) {
    let time = Duration::from_millis(ms.unsigned_abs());
    let at = if ms < 0 { start - time } else { start + time };
    sleep(at.saturating_duration_since(Instant::now())).await;
}

/// Guards against requests that are closed over unread because the node had no processor time while
/// their idle connections became due to be closed.
#[tokio::test(flavor = "multi_thread")]
async fn suspended_close() {
    let mut world = World::start(2, 49).await;
    let owner = world.owner().expect("a node owns the cell");
    let node = 1 - owner;
    let mut caller = world.caller_of(owner);
    let job = caller.submit("/a/", 1, &TINY.steps(), &TINY.spec()).await;
    let mut sessions = Vec::new();
    for _ in 0..40 {
        sessions.push(Session::open(world.nodes[node].callers).await);
    }
    let start = Instant::now();
    world.nodes[node].signal("TERM");
    // Idle connections are due to be closed 4.8 s after the SIGTERM.
    sleep_until(start, 4_650).await;
    world.nodes[node].signal("STOP");
    let mut reads = JoinSet::new();
    for mut session in sessions {
        let path = job.path.clone();
        reads.spawn(async move { session.get(&path).await });
    }
    sleep_until(start, 4_880).await;
    world.nodes[node].signal("CONT");
    let reads = reads.join_all().await;
    let cut: Vec<&Exchange> = reads.iter().filter(|r| r.is_cut()).collect();
    assert!(cut.is_empty(), "{} cut: {:?}", cut.len(), cut.first());
}

/// Where a slow caller pauses in its request.
#[derive(Debug, Clone, Copy)]
enum Pause {
    InHead,
    InBody,
}

/// A job that was sent in two parts.
#[derive(Debug)]
struct SlowJob {
    id: String,
    /// When the two parts were sent, in milliseconds after the SIGTERM.
    parts: [i64; 2],
    response: String,
}

/// Submits a job in two parts, and reads the response until the connection ends.
async fn submit_slowly(
    node: SocketAddr,
    id: String,
    start: Instant,
    pause: Pause,
    parts: [i64; 2],
) -> SlowJob {
    let body = TINY.body().to_string();
    let text = format!(
        "POST /a/{id} HTTP/1.1\r\nhost: {node}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let cut = match pause {
        Pause::InHead => 30,
        Pause::InBody => text.len() - body.len() / 2,
    };
    let stream = TcpStream::connect(node).await;
    let mut stream = stream.expect("the node accepts connections");
    for (at, part) in parts.into_iter().zip([&text[..cut], &text[cut..]]) {
        sleep_until(start, at).await;
        // A refusal may come before the second part is sent, and the connection be closed.
        let _ = stream.write_all(part.as_bytes()).await;
    }
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    SlowJob {
        id,
        parts,
        response: String::from_utf8_lossy(&response).into_owned(),
    }
}

/// Until when a stopping node must accept a job, in milliseconds after its SIGTERM: a second before
/// its exit, and an append takes milliseconds.
const ACCEPTED_UNTIL: i64 = 4_500;

/// Submits jobs slowly to two nodes that are stopped, one of them the owner, and checks the
/// responses against what the workers ran.
async fn submit_over_stop(seed: u64, pause: Pause, parts: &[[i64; 2]]) {
    let mut world = World::start(3, seed).await;
    let owner = world.owner().expect("a node owns the cell");
    let stopped = [owner, (owner + 1) % 3];
    let start = Instant::now() + Duration::from_millis(500);
    let mut load = JoinSet::new();
    for (number, parts) in parts.iter().enumerate() {
        let node = world.nodes[stopped[number % 2]].callers;
        let id = format!("{number:016x}");
        load.spawn(submit_slowly(node, id, start, pause, *parts));
    }
    sleep_until(start, 0).await;
    for node in stopped {
        world.nodes[node].signal("TERM");
    }
    let jobs = load.join_all().await;
    let mut caller = world.caller_of((owner + 2) % 3);
    let mut wrong = Vec::new();
    for job in jobs {
        let (head, body) = job.response.split_once("\r\n\r\n").unwrap_or_default();
        let body: Value = serde_json::from_str(body).unwrap_or_default();
        let is_accepted = head.starts_with("HTTP/1.1 200");
        if is_accepted {
            let state = caller.wait(&accepted(&job.id, 1)).await;
            assert_eq!(state.as_deref(), Ok("complete"), "{job:?}");
        } else if job.parts[1] <= ACCEPTED_UNTIL || body["ran"] != "not-run" {
            wrong.push(format!("not accepted: {job:?}"));
        }
        let starts = world.platform.ledger(|l| l.start_count(&job.id));
        if starts != u64::from(is_accepted) {
            wrong.push(format!("{starts} starts: {job:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a job that is cut, or accepted without an answer, because its body arrives while
/// the node is being stopped.
#[tokio::test(flavor = "multi_thread")]
async fn slow_bodies() {
    let parts = [
        [-200, 300],
        [-200, 2_400],
        [500, 1_000],
        [1_000, 3_500],
        [2_000, 4_500],
        [3_000, 5_000],
        [4_000, 5_200],
        [4_500, 5_000],
        [4_700, 4_800],
        [3_000, 5_300],
    ];
    submit_over_stop(47, Pause::InBody, &parts).await;
}

/// Guards against a request whose connection counts as idle, and is closed, while its head arrives.
#[tokio::test(flavor = "multi_thread")]
async fn slow_heads() {
    let parts = [
        [-200, 300],
        [-200, 2_600],
        [1_000, 4_500],
        [1_000, 4_900],
        [3_000, 5_200],
        [4_700, 5_000],
    ];
    submit_over_stop(48, Pause::InHead, &parts).await;
}
