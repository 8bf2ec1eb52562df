//! Planned stops of nodes whose callers keep using their open connections.

use std::time::{Duration, Instant};

use cactuswheel_soak::{AcceptedJob, Exchange, Node, Session, World};
use serde_json::{Value, json};
use tokio::time::sleep_until;

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// How long after the node's SIGTERM requests are sent: most of the grace time.
const REQUEST_TIME: Duration = Duration::from_millis(5_700);

/// Time in which a load balancer that probes once a second notices that the node is not ready.
const BALANCER_TIME: Duration = Duration::from_secs(2);

/// Time in which a stopped process has to exit by itself.
const GRACE: Duration = Duration::from_secs(6);

/// When a stopping node closes connections that were idle since its SIGTERM.
const IDLE_CLOSE: Duration = Duration::from_millis(4_800);

/// Time without an owner after which a stopping node does not wait for one any more: more than an
/// ownership takes to expire and a takeover usually lasts.
const OWNER_GONE: Duration = Duration::from_secs(3);

/// Longest time in which a node answers that has nothing to wait for.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Number of tasks of each job.
const TASKS: usize = 2;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    State,
    Queue,
    Submit,
}

/// A request on a connection that was open before the stops, and how it ended.
#[derive(Debug)]
struct Request {
    kind: Kind,
    path: String,
    /// Time from the node's SIGTERM to the request.
    sent: Duration,
    end: Exchange,
}

/// Nodes that are stopped, each with the time of its SIGTERM. Node 0 is the owner.
type Series<'a> = &'a [(usize, Duration)];

fn steps() -> Value {
    json!([{ "count": TASKS, "cpu": 100, "mem_mb": 10, "estimate_ms": 100 }])
}

/// Plays a series of stops. Callers that connected to the node `connected` before use their
/// connections after its SIGTERM, one request each, until the process is gone. Then starts the nodes
/// again and checks that the process exited by itself, that accepted jobs complete, and that jobs
/// refused as not run never started.
async fn play(seed: u64, series: Series<'_>, connected: usize) -> Vec<Request> {
    let mut world = World::start(4, seed).await;
    let owner = world.owner().expect("a node owns the cell");
    let node = |number: usize| (owner + number) % 4;
    let mut caller = world.caller(0);
    let read = caller.submit("/b/", 1, &steps(), "work_ms=100").await;
    let mut sessions = Vec::new();
    for _ in 0..REQUEST_TIME.as_millis() / REQUEST_INTERVAL.as_millis() {
        sessions.push(Session::open(world.nodes[node(connected)].callers).await);
    }
    let start = Instant::now();
    let own = series.iter().find(|(n, _)| *n == connected);
    let stopped = start + own.expect("the node is stopped").1;
    let signals = async {
        for (number, at) in series {
            sleep_until((start + *at).into()).await;
            world.nodes[node(*number)].signal("TERM");
        }
        sleep_until((stopped + GRACE).into()).await;
    };
    let ((), requests) = tokio::join!(signals, send_all(sessions, &read.path, stopped));
    check_exit(&mut world.nodes[node(connected)]);
    for node in &mut world.nodes {
        node.start();
    }
    for request in requests.iter().filter(|r| r.kind == Kind::Submit) {
        let (path, tasks) = (request.path.clone(), TASKS);
        let id = path["/a/".len()..].to_owned();
        let job = AcceptedJob { path, id, tasks };
        if request.end.is_ok() {
            assert_eq!(caller.wait(&job).await.as_deref(), Ok("complete"));
        }
        if request.end.is_refusal() {
            let starts = world.platform.ledger(|l| l.start_count(&job.id));
            assert_eq!(starts, 0, "{request:#?}");
        }
    }
    let violations = world.platform.ledger(|l| l.violations.clone());
    assert_eq!(violations, Vec::<String>::new());
    requests
}

/// Checks that a stopped process has exited by itself, with nothing left to do.
fn check_exit(node: &mut Node) {
    assert!(!node.is_running(), "no exit within {GRACE:?}");
    assert!(!node.has_failed());
    let last = node.log("node stopped").pop().expect("it is logged");
    assert_eq!(last["whole"], "true", "{last}");
}

/// Sends one request on each session, in turn from the time `stopped` on.
async fn send_all(sessions: Vec<Session>, read: &str, stopped: Instant) -> Vec<Request> {
    let requests = sessions.into_iter().zip(0..).map(|(session, number)| {
        let read = read.to_owned();
        tokio::spawn(async move {
            sleep_until((stopped + REQUEST_INTERVAL * number).into()).await;
            send(session, number, read, stopped).await
        })
    });
    let mut ended = Vec::new();
    for request in requests.collect::<Vec<_>>() {
        ended.push(request.await.expect("a request does not panic"));
    }
    ended
}

async fn send(mut session: Session, number: u32, read: String, stopped: Instant) -> Request {
    let sent = stopped.elapsed();
    let (kind, path) = match number % 4 {
        0 | 1 => (Kind::State, read),
        2 => (Kind::Queue, "/b/".to_owned()),
        _ => (Kind::Submit, format!("/a/{:016x}", 0x1000 + number)),
    };
    let body = json!({ "spec": "work_ms=50", "steps": steps() });
    let end = match kind {
        Kind::Submit => session.post(&path, &body).await,
        Kind::State | Kind::Queue => session.get(&path).await,
    };
    Request {
        kind,
        path,
        sent,
        end,
    }
}

/// Checks that each request was served or found its connection closed, the latter only once the
/// load balancer sends no callers to the node.
fn check_served(requests: &[Request]) {
    let broken: Vec<&Request> = requests
        .iter()
        .filter(|r| match r.end.status() {
            Some(status) => status != 200,
            None => r.end.is_cut() || r.sent < BALANCER_TIME,
        })
        .collect();
    let cut = broken.iter().filter(|r| r.end.is_cut()).count();
    let ends = (broken.first(), broken.last());
    assert!(
        broken.is_empty(),
        "{cut} cut, {} refused or closed early of {}: {ends:#?}",
        broken.len() - cut,
        requests.len()
    );
}

/// Checks that each request got a whole response or found its connection closed, and that what was
/// not served says that it did not run and when to come back.
fn check_answered(requests: &[Request]) {
    let broken: Vec<&Request> = requests
        .iter()
        .filter(|r| match r.end.status() {
            Some(status) => status != 200 && !r.end.is_refusal(),
            None => r.end.is_cut(),
        })
        .collect();
    let ends = (broken.first(), broken.last());
    assert!(
        broken.is_empty(),
        "{} cut or wrongly refused of {}: {ends:#?}",
        broken.len(),
        requests.len()
    );
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a stopped owner that goes on asking itself: its callers' reads are refused, and
/// cut when it exits.
#[tokio::test(flavor = "multi_thread")]
async fn owner_stopped() {
    check_served(&play(31, &[(0, ms(0))], 0).await);
}

/// Guards against a stopping node that still asks the owner of the time of its SIGTERM, which is
/// stopped after it.
#[tokio::test(flavor = "multi_thread")]
async fn owner_follows() {
    check_served(&play(32, &[(1, ms(0)), (0, ms(300))], 1).await);
}

/// Guards against reads that are cut at the owner, when it is the last of nodes that are stopped
/// one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn owner_last() {
    let series = &[(2, ms(0)), (1, ms(1_200)), (0, ms(2_400))];
    check_served(&play(33, series, 0).await);
}

/// Guards against reads that are cut at a node that is stopped while the ownership passes through
/// nodes that are stopped too.
#[tokio::test(flavor = "multi_thread")]
async fn stops_overlap() {
    let series = &[(3, ms(0)), (0, ms(300)), (1, ms(600))];
    check_served(&play(34, series, 3).await);
}

/// Guards against requests that wait for an owner that does not come, and are cut at the exit: every
/// node is stopped at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn nobody_left() {
    let series = &[(0, ms(0)), (1, ms(0)), (2, ms(0)), (3, ms(0))];
    let requests = play(35, series, 1).await;
    check_answered(&requests);
    let late = requests.iter().filter(|r| r.sent > OWNER_GONE);
    let slow: Vec<_> = late.filter(|r| r.end.took > AT_ONCE).collect();
    assert!(slow.is_empty(), "{} waited: {slow:#?}", slow.len());
}

/// Guards against requests that are closed over unread: they come while the process is suspended,
/// over the time at which it closes its idle connections.
#[tokio::test(flavor = "multi_thread")]
async fn paused_at_close() {
    let mut world = World::start(3, 36).await;
    let owner = world.owner().expect("a node owns the cell");
    let node = (owner + 1) % 3;
    let mut sessions = Vec::new();
    for _ in 0..40 {
        sessions.push(Session::open(world.nodes[node].callers).await);
    }
    let start = Instant::now();
    world.nodes[node].signal("TERM");
    sleep_until((start + IDLE_CLOSE - ms(200)).into()).await;
    world.nodes[node].signal("STOP");
    let requests = sessions
        .into_iter()
        .map(|mut session| tokio::spawn(async move { session.get("/a/").await }));
    let requests: Vec<_> = requests.collect();
    sleep_until((start + IDLE_CLOSE + ms(200)).into()).await;
    world.nodes[node].signal("CONT");
    let mut unserved = 0;
    for request in requests {
        let end = request.await.expect("a request does not panic");
        unserved += usize::from(!end.is_ok());
    }
    assert_eq!(unserved, 0, "of 40");
}

/// Guards against new jobs that a quiet node refuses during a planned hand-over: it takes the time
/// since its last hand-in for an outage of the owner.
#[tokio::test(flavor = "multi_thread")]
async fn quiet_node() {
    let mut world = World::start(3, 37).await;
    let owner = world.owner().expect("a node owns the cell");
    let node = (owner + 1) % 3;
    let body = json!({ "spec": "work_ms=50", "steps": steps() });
    let mut caller = world.caller_of(node);
    caller.submit("/a/", 1, &steps(), "work_ms=50").await;
    let mut sessions = Vec::new();
    for _ in 0..30 {
        sessions.push(Session::open(world.nodes[node].callers).await);
    }
    sleep_until((Instant::now() + ms(4_000)).into()).await;
    world.nodes[owner].signal("TERM");
    let start = Instant::now();
    let requests = sessions.into_iter().zip(0..).map(|(mut session, number)| {
        let body = body.clone();
        tokio::spawn(async move {
            sleep_until((start + ms(4) * number).into()).await;
            session
                .post(&format!("/a/{:016x}", 0x2000 + number), &body)
                .await
        })
    });
    let mut refused = Vec::new();
    for request in requests.collect::<Vec<_>>() {
        let end = request.await.expect("a request does not panic");
        refused.extend((!end.is_ok()).then_some(end));
    }
    assert!(
        refused.is_empty(),
        "{} of 30: {:#?}",
        refused.len(),
        refused[0]
    );
}
