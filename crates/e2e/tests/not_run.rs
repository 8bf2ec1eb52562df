//! A refusal that says "not run" is true.

use cactuswheel_e2e::{Caller, Fleet, Reply};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Id, headers, then code, run state and runs that they lead to.
type Exit = (
    &'static str,
    &'static [(&'static str, &'static str)],
    &'static str,
    &'static str,
    usize,
);

async fn post(fleet: &Fleet, id: &str, more: &[(&str, &str)]) -> Reply {
    let mut caller = Caller::connect(fleet.callers[0]).await;
    let headers = [&[("x-request-id", id)], more].concat();
    caller.send("POST", &headers, "cut reel").await.unwrap()
}

#[tokio::test]
async fn each_exit() {
    // Each way out of the request path, against the upstream's own record: the caller sends
    // again what was "not run", so it must not have.
    let fleet = Fleet::start(1, 1);
    fleet.open(100).await;
    let exits: [Exit; 6] = [
        ("plain", &[], "0", "ran", 1),
        ("refused", &[("x-fault", "refuse")], "304", "not-run", 0),
        (
            "before",
            &[("x-fault", "reset-before")],
            "302",
            "unknown",
            0,
        ),
        ("after", &[("x-fault", "reset-after")], "302", "unknown", 1),
        (
            "slow",
            &[("x-sleep-ms", "400"), ("x-deadline-ms", "100")],
            "303",
            "unknown",
            1,
        ),
        ("late", &[("x-deadline-ms", "0")], "203", "not-run", 0),
    ];
    for (id, headers, code, ran, runs) in exits {
        let reply = post(&fleet, id, headers).await;
        assert_eq!((reply.code(), reply.ran()), (code, ran), "{id}");
        assert_eq!(fleet.runs_of(id).await, runs, "{id}");
        assert_eq!(reply.header("x-cactuswheel-not-run"), "");
    }
}

#[tokio::test]
async fn dead_upstream() {
    // One of two upstreams was killed and the roster still lists it. What goes there never
    // reaches a connection, so it is tried at the other one, once; with both dead it is refused.
    let mut fleet = Fleet::start(2, 1);
    fleet.open(100).await;
    fleet.upstreams[0].signal("KILL");
    fleet.upstreams[0].wait();
    for n in 0..20 {
        let id = format!("r{n}");
        let reply = post(&fleet, &id, &[]).await;
        assert_eq!((reply.status.as_u16(), reply.ran()), (200, "ran"));
        let runs = fleet.runs(1).await;
        assert_eq!(runs.iter().filter(|run| run.request == id).count(), 1);
    }
    fleet.upstreams[1].signal("KILL");
    fleet.upstreams[1].wait();
    // The kept connection to the second one died with it: that alone is no proof.
    let reply = post(&fleet, "first", &[]).await;
    assert!(["unknown", "not-run"].contains(&reply.ran()));
    let reply = post(&fleet, "last", &[]).await;
    assert_eq!(reply.ran(), "not-run");
}

#[tokio::test]
async fn full_upstreams() {
    // Two entries send four times what two upstreams of two slots take. The upstreams refuse
    // some; each caller is told the truth of its own request.
    let mut fleet = Fleet::start(0, 2);
    fleet.add_upstream_with(&["--slots", "2"]);
    fleet.add_upstream_with(&["--slots", "2"]);
    fleet.open(1_000).await;
    let mut tasks = Vec::new();
    for n in 0..64 {
        let at = fleet.callers[n % 2];
        tasks.push(tokio::spawn(async move {
            let id = format!("full-{n}");
            let headers = [("x-request-id", id.as_str()), ("x-sleep-ms", "30")];
            let mut caller = Caller::connect(at).await;
            let reply = caller.send("POST", &headers, "x").await.unwrap();
            (id, reply)
        }));
    }
    let mut refused = 0;
    for task in tasks {
        let (id, reply) = task.await.unwrap();
        let runs = fleet.runs_of(&id).await;
        assert_eq!(runs, usize::from(reply.status == 200), "{reply:?}");
        refused += usize::from(reply.ran() == "not-run");
    }
    assert!(refused > 0);
}

#[tokio::test]
async fn forged_words() {
    // A caller sends headers that only entries and upstreams may set, and an upstream answers
    // with ones that only the entry may set. Neither side sees the other's, so nobody takes a
    // forged "not run" or a forged team for true.
    let mut fleet = Fleet::start(0, 1);
    let mut ticket = fleet.first_ticket(100);
    let changes = ticket["changes"].as_array_mut().unwrap();
    changes.push(Fleet::instance(1, "render"));
    let addr = fleet.hosts.addr(9000);
    let listener = TcpListener::bind(addr).await.unwrap();
    let upstream = tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = vec![0; 4096];
            let len = stream.read(&mut request).await.unwrap();
            // Worker control asks an instance what runs there, at any time.
            if !request.starts_with(b"POST") {
                continue;
            }
            let answer = "HTTP/1.1 200 OK\r\nx-cactuswheel-ran: not-run\r\n\
                x-cactuswheel-other: 1\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer.as_bytes()).await.unwrap();
            return String::from_utf8_lossy(&request[..len]).into_owned();
        }
    });
    fleet.list("w1", 1, addr, "live").await;
    assert_eq!(fleet.apply(0, &ticket).0, Some(0));
    fleet.settle(1).await;
    let forged = [
        ("x-cactuswheel-team", "others"),
        ("x-cactuswheel-not-run", "1"),
        ("connection", "x-private"),
        ("x-private", "1"),
    ];
    let reply = post(&fleet, "forged", &forged).await;
    assert_eq!((reply.status.as_u16(), reply.ran()), (200, "ran"));
    assert_eq!(reply.header("x-cactuswheel-other"), "");
    let request = upstream.await.unwrap();
    assert!(request.contains("x-cactuswheel-team: ads\r\n"), "{request}");
    for word in ["others", "not-run", "x-private", "team-key"] {
        assert!(!request.contains(word), "{request}");
    }
}
