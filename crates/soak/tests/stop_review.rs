//! Requests around a planned stop that leave the usual order of events.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactuswheel_soak::{Mode, World};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

/// Longest wait for the end of a connection.
const END_TIMEOUT: Duration = Duration::from_secs(8);

/// When a stopping node closes the connections that were idle all the while, in milliseconds from
/// its SIGTERM, less what a loaded machine needs.
const CLOSES_IDLE: u64 = 4_700;

/// The pieces of a request, each with the time at which it is sent.
type Pieces = Vec<(Duration, String)>;

/// What a caller read from its connection until it ended.
#[derive(Debug)]
struct Reply {
    text: String,
    /// Time from the first piece to the end of the connection.
    took: Duration,
}

impl Reply {
    /// The HTTP status; `None` if the connection ended without a response.
    fn status(&self) -> Option<u16> {
        self.text.split(' ').nth(1)?.parse().ok()
    }
}

/// Sends the pieces of a request on a connection of its own, at times counted from `start`.
async fn send_pieces(peer: SocketAddr, start: Instant, pieces: Pieces) -> Reply {
    let mut stream = TcpStream::connect(peer).await.expect("the node accepts");
    let first = pieces.first().map(|(at, _)| *at).unwrap_or_default();
    for (at, piece) in pieces {
        sleep_until((start + at).into()).await;
        // A connection that has ended shows in the reply.
        let _ = stream.write_all(piece.as_bytes()).await;
    }
    let mut text = Vec::new();
    let _ = timeout(END_TIMEOUT, stream.read_to_end(&mut text)).await;
    Reply {
        text: String::from_utf8_lossy(&text).into_owned(),
        took: start.elapsed().saturating_sub(first),
    }
}

/// Splits a request for a job into its head and its body.
fn job_request(
    peer: SocketAddr,
    method: &str,
    path: &str,
    deadline: Option<u64>,
) -> (String, String) {
    let steps = json!([{ "count": 2, "cpu": 100, "mem_mb": 10, "estimate_ms": 100 }]);
    let body = match method {
        "POST" => json!({ "spec": "work_ms=50", "steps": steps }).to_string(),
        _ => String::new(),
    };
    let deadline = deadline.map(|ms| format!("deadline-ms: {ms}\r\n"));
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {}\r\nconnection: close\r\n{}content-length: {}\r\n\r\n",
        peer.ip(),
        deadline.unwrap_or_default(),
        body.len()
    );
    (head, body)
}

/// Sends a request with this deadline at once.
async fn send_now(peer: SocketAddr, method: &str, path: &str, deadline: u64) -> Reply {
    let (head, body) = job_request(peer, method, path, Some(deadline));
    let pieces = vec![(Duration::ZERO, head + &body)];
    send_pieces(peer, Instant::now(), pieces).await
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against requests that end without a response because their head or their body arrived in
/// two pieces around one of the times of a stop, or in HTTP/1.0.
#[tokio::test(flavor = "multi_thread")]
async fn split_requests() {
    let mut world = World::start(3, 44).await;
    let owner = world.owner().expect("a node owns the cell");
    let stopped = (owner + 1) % 3;
    let peer = world.nodes[stopped].callers;
    let start = Instant::now();
    let mut callers = Vec::new();
    // Before the SIGTERM, around the closing of the listener, of idle connections, and the exit.
    for (number, (from, to)) in [
        (0, 100),
        (2_250, 2_450),
        (2_000, 3_500),
        (4_500, 5_000),
        (4_500, 5_250),
    ]
    .into_iter()
    .enumerate()
    {
        for (kind, method) in ["GET", "POST"].into_iter().enumerate() {
            for at_head in [true, false] {
                let id = 0x100 + 4 * number + 2 * kind + usize::from(at_head);
                let path = format!("/b/{id:016x}");
                let (head, body) = job_request(peer, method, &path, None);
                let whole = head.clone() + &body;
                let cut = if at_head { 10 } else { head.len() - 2 };
                let (first, rest) = whole.split_at(cut);
                let old = whole.replace("HTTP/1.1", "HTTP/1.0");
                let pieces = vec![(ms(from), first.to_owned()), (ms(to), rest.to_owned())];
                callers.push((
                    from,
                    to,
                    method,
                    "two pieces",
                    tokio::spawn(send_pieces(peer, start, pieces)),
                ));
                callers.push((
                    from,
                    to,
                    method,
                    "HTTP/1.0",
                    tokio::spawn(send_pieces(peer, start, vec![(ms(from), old)])),
                ));
            }
        }
    }
    sleep(ms(20)).await;
    world.nodes[stopped].signal("TERM");
    let mut cut = Vec::new();
    for (from, to, method, how, caller) in callers {
        let reply = caller.await.expect("a caller does not panic");
        if reply.status().is_none() {
            cut.push((from, to, method, how, reply.took));
        }
    }
    assert!(cut.is_empty(), "{cut:#?}");
}

/// Guards against a claim that is under way at the SIGTERM and wins: the stopping node would hold
/// the ownership until it expires, or run the cell until it exits.
#[tokio::test(flavor = "multi_thread")]
async fn claim_under_way() {
    for (seed, after) in (50..62).zip((0..).step_by(8)) {
        let mut world = World::start(2, seed).await;
        let owner = world.owner().expect("a node owns the cell");
        world.nodes[owner].signal("TERM");
        // The other node claims within tens of milliseconds of the release.
        sleep(ms(after)).await;
        world.nodes[1 - owner].signal("TERM");
        sleep(ms(1_500)).await;
        world.nodes[owner].signal("KILL");
        sleep(ms(50)).await;
        let known = world.nodes[owner].log("cell taken over").len();
        world.nodes[owner].start();
        let start = Instant::now();
        while world.nodes[owner].log("cell taken over").len() == known {
            assert!(start.elapsed() < ms(3_000), "stopped {after} ms later");
            sleep(ms(20)).await;
        }
    }
}

/// A request that ended without a response: when it was sent, its method, and how long it took.
type Cut = (u64, &'static str, Duration);

/// Sends reads, jobs and cancels on connections opened before, one every 40 ms from `start` on
/// until shortly before the exit. Returns those that got no response, other than on a connection
/// that was closed as idle.
async fn send_mix(peer: SocketAddr, start: Instant) -> Vec<Cut> {
    let callers: Vec<_> = (0..130)
        .map(|number| {
            let at = 40 * number;
            let method = ["GET", "POST", "DELETE"][number as usize % 3];
            let path = format!("/b/{number:016x}");
            let (head, body) = job_request(peer, method, &path, None);
            let pieces = vec![(ms(at), head + &body)];
            (at, method, tokio::spawn(send_pieces(peer, start, pieces)))
        })
        .collect();
    let mut cut = Vec::new();
    for (at, method, caller) in callers {
        let reply = caller.await.expect("a caller does not panic");
        if reply.status().is_none() && at < CLOSES_IDLE {
            cut.push((at, method, reply.took));
        }
    }
    cut
}

/// Guards against requests that end without a response at an owner that cannot release the
/// ownership, because the store is away from it or does not answer from its SIGTERM on.
#[tokio::test(flavor = "multi_thread")]
async fn store_away() {
    let mut broken = Vec::new();
    for (seed, mode) in [
        (70, Mode::Reset),
        (71, Mode::StallReplies),
        (72, Mode::Delay),
    ] {
        let mut world = World::start(3, seed).await;
        let owner = world.owner().expect("a node owns the cell");
        let start = Instant::now();
        let sending = tokio::spawn(send_mix(world.nodes[owner].callers, start));
        sleep(ms(50)).await;
        world.proxies[owner].set_mode(mode);
        world.nodes[owner].signal("TERM");
        let cut = sending.await.expect("no panic");
        sleep_until((start + ms(6_050)).into()).await;
        let next = world.owner().expect("a node owns the cell");
        if !cut.is_empty() || world.nodes[owner].is_running() || next == owner {
            broken.push((
                mode,
                cut,
                next == owner,
                world.nodes[owner].log("node stopped"),
            ));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against a stop that begins anew, or ends at once, with a second signal, and against a
/// node that does not exit when it is stopped before it has reached the store.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_twice_and_early() {
    let mut world = World::start(2, 73).await;
    let owner = world.owner().expect("a node owns the cell");
    let start = Instant::now();
    let sending = tokio::spawn(send_mix(world.nodes[owner].callers, start));
    sleep(ms(50)).await;
    for (signal, pause) in [
        ("TERM", 1_000),
        ("TERM", 2_000),
        ("INT", 2_200),
        ("TERM", 800),
    ] {
        world.nodes[owner].signal(signal);
        sleep(ms(pause)).await;
    }
    let cut = sending.await.expect("no panic");
    assert!(cut.is_empty(), "{cut:#?}");
    assert!(!world.nodes[owner].is_running());
    world.proxies[owner].set_mode(Mode::Stall);
    world.nodes[owner].start();
    sleep(ms(300)).await;
    let start = Instant::now();
    world.nodes[owner].signal("TERM");
    while world.nodes[owner].is_running() {
        assert!(start.elapsed() < ms(6_000));
        sleep(ms(20)).await;
    }
}

/// Guards against a job that is in flight since before the SIGTERM, with more time than the process
/// has, and is cut by the exit.
#[tokio::test(flavor = "multi_thread")]
async fn begun_before_stop() {
    let times = json!({
        "revoke_ms": 5000, "lease_ms": 6000, "kept_s": 120, "grace_s": 3,
        "maintain_s": 0.4, "order_ms": 1000, "pace_ms": 100,
    });
    let mut world = World::with_settings(2, 74, |_| json!({ "times": times })).await;
    let owner = world.owner().expect("a node owns the cell");
    let peer = world.nodes[1 - owner].callers;
    let (head, body) = job_request(peer, "POST", "/b/0000000000000001", None);
    let (first, rest) = body.split_at(body.len() / 2);
    let pieces = vec![(ms(0), head + first), (ms(2_900), rest.to_owned())];
    let caller = tokio::spawn(send_pieces(peer, Instant::now(), pieces));
    sleep(ms(150)).await;
    world.nodes[1 - owner].signal("TERM");
    let reply = caller.await.expect("a caller does not panic");
    assert!(matches!(reply.status(), Some(503 | 504)), "{reply:#?}");
}

/// Guards against a job that is handed to the store shortly before the exit and whose outcome is
/// unknown then, although it could have been refused as not run.
#[tokio::test(flavor = "multi_thread")]
async fn too_late_to_store() {
    let mut world = World::start(2, 75).await;
    let owner = world.owner().expect("a node owns the cell");
    let peer = world.nodes[1 - owner].callers;
    let (head, body) = job_request(peer, "POST", "/b/0000000000000001", None);
    let (first, rest) = head.split_at(10);
    let pieces = vec![
        (ms(4_500), first.to_owned()),
        (ms(5_150), rest.to_owned() + &body),
    ];
    let caller = tokio::spawn(send_pieces(peer, Instant::now(), pieces));
    sleep(ms(20)).await;
    for node in &mut world.nodes {
        node.signal("TERM");
    }
    sleep(ms(4_600)).await;
    world.proxies[1 - owner].set_mode(Mode::StallReplies);
    let reply = caller.await.expect("a caller does not panic");
    assert!(reply.text.contains("\"not-run\""), "{reply:#?}");
}

/// Guards against jobs and cancels that a node without a stop gives up at once because their caller
/// waits for a short time only, although the owner and the store answer within milliseconds.
#[tokio::test(flavor = "multi_thread")]
async fn short_deadlines() {
    let world = World::start(3, 41).await;
    let owner = world.owner().expect("a node owns the cell");
    let mut ends = Vec::new();
    for number in [owner, (owner + 1) % 3] {
        let peer = world.nodes[number].callers;
        for (id, deadline) in [(1, 3_000), (2, 200), (3, 140), (4, 100), (5, 50)] {
            let path = format!("/b/{:016x}", 16 * (number + 1) + id);
            for method in ["POST", "DELETE"] {
                let reply = send_now(peer, method, &path, deadline).await;
                ends.push((
                    number == owner,
                    method,
                    deadline,
                    reply.status(),
                    reply.took,
                ));
            }
        }
    }
    let refused: Vec<_> = ends.iter().filter(|e| e.3 != Some(200)).collect();
    assert!(refused.is_empty(), "{refused:#?}");
}

/// Guards against a stopping node that refuses a job as too late to store seconds before the exit,
/// because its caller waits for a short time only.
#[tokio::test(flavor = "multi_thread")]
async fn short_deadline_in_stop() {
    let mut world = World::start(3, 42).await;
    let owner = world.owner().expect("a node owns the cell");
    let stopped = (owner + 1) % 3;
    let peer = world.nodes[stopped].callers;
    world.nodes[stopped].signal("TERM");
    sleep(ms(300)).await;
    let reply = send_now(peer, "POST", "/b/0000000000000001", 300).await;
    assert_eq!(reply.status(), Some(200), "{reply:#?}");
}

/// Guards against a job whose body is still arriving when the process has to exit, and that is
/// rejected as malformed: its caller would not send it again.
#[tokio::test(flavor = "multi_thread")]
async fn body_at_exit() {
    let mut world = World::start(3, 43).await;
    let owner = world.owner().expect("a node owns the cell");
    let stopped = (owner + 1) % 3;
    let peer = world.nodes[stopped].callers;
    let start = Instant::now();
    let mut callers = Vec::new();
    for number in 0..40 {
        let path = format!("/b/{number:016x}");
        let (head, body) = job_request(peer, "POST", &path, None);
        let (first, rest) = body.split_at(body.len() / 2);
        let pieces = vec![
            (ms(4_000 + 17 * number), head + first),
            (ms(5_600), rest.to_owned()),
        ];
        callers.push(tokio::spawn(send_pieces(peer, start, pieces)));
    }
    sleep(ms(20)).await;
    world.nodes[stopped].signal("TERM");
    let mut ends = Vec::new();
    for caller in callers {
        let reply = caller.await.expect("a caller does not panic");
        if !matches!(reply.status(), Some(503 | 504)) {
            ends.push(reply);
        }
    }
    assert!(ends.is_empty(), "{} of 40: {:#?}", ends.len(), ends.first());
}

/// Guards against an owner that releases the ownership before its cell has stopped renewing leases:
/// the next owner counts on it.
#[tokio::test(flavor = "multi_thread")]
async fn cell_ends_first() {
    let mut early = Vec::new();
    for seed in 46..50 {
        let mut world = World::start(4, seed).await;
        let steps = json!([{ "count": 200, "cpu": 100, "mem_mb": 10, "estimate_ms": 100 }]);
        let mut caller = world.caller(0);
        for id in 0..60 {
            caller.submit("/a/", id, &steps, "work_ms=20").await;
        }
        for _ in 0..3 {
            let owner = world.owner().expect("a node owns the cell");
            let taken = world.log("cell taken over").len();
            world.nodes[owner].signal("TERM");
            while world.log("cell taken over").len() == taken {
                sleep(ms(20)).await;
            }
            let lines = world.nodes[owner].lines();
            let at = |message: &str| lines.iter().position(|l| l.contains(message));
            let (ended, released) = (at("ownership ended"), at("ownership released"));
            if released.is_some() && ended.is_none_or(|e| Some(e) > released) {
                early.push((seed, owner, ended, released));
            }
        }
    }
    assert!(early.is_empty(), "{early:?}");
}

/// Guards against an exit that comes at once after a suspension: reads whose time has passed
/// meanwhile would be cut, although the platform kills the process later.
#[tokio::test(flavor = "multi_thread")]
async fn suspended_before_exit() {
    let mut world = World::start(2, 45).await;
    let owner = world.owner().expect("a node owns the cell");
    let stopped = (owner + 1) % 2;
    let peer = world.nodes[stopped].callers;
    let start = Instant::now();
    let mut callers = Vec::new();
    for number in 0..40 {
        let (head, _) = job_request(peer, "GET", "/b/0000000000000001", None);
        let pieces = vec![(ms(4_000 + 20 * number), head)];
        callers.push(tokio::spawn(send_pieces(peer, start, pieces)));
    }
    sleep(ms(20)).await;
    for node in &mut world.nodes {
        node.signal("TERM");
    }
    sleep_until((start + ms(5_100)).into()).await;
    world.nodes[stopped].signal("STOP");
    sleep(ms(600)).await;
    world.nodes[stopped].signal("CONT");
    let mut cut = 0;
    for caller in callers {
        let reply = caller.await.expect("a caller does not panic");
        cut += usize::from(reply.status().is_none());
    }
    assert_eq!(cut, 0, "{:#?}", world.nodes[stopped].log("node stopped"));
}
