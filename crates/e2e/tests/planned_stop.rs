//! A planned stop of an entry cuts no request.

use std::net::SocketAddr;
use std::time::Duration;

use cactuswheel_e2e::{Caller, Fleet, Reply};
use cactuswheel_http::Call;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

const HALF_SECOND: Duration = Duration::from_millis(500);

/// How long after it was sent a request's connection may end without an answer: the caller cannot
/// know yet that the entry is closing the connection.
const SLACK: Duration = Duration::from_millis(200);

/// Sends on one connection until the entry says that an answer is the last one; how many.
async fn chat(at: SocketAddr, pause: Duration) -> usize {
    let mut caller = Caller::connect(at).await;
    for n in 1.. {
        let text = format!("request {n}");
        let reply = caller.send("POST", &[("x-sleep-ms", "3")], &text).await;
        let reply = reply.unwrap_or_else(|e| panic!("request {n} was cut: {e}"));
        assert_eq!(reply.body.as_deref(), Some(text.as_bytes()));
        if reply.header("connection") == "close" {
            return n;
        }
        sleep(pause).await;
    }
    0
}

#[tokio::test]
async fn busy_callers() {
    // Callers on keep-alive connections go on sending while the entry stops; the balancer
    // opens new connections for a while yet. Every request is answered whole, the last one on
    // each connection says so, and the process ends by itself.
    let mut fleet = Fleet::start(1, 1);
    fleet.open(1_000).await;
    let (at, admin) = (fleet.callers[0], fleet.admins[0]);
    let chats: Vec<_> = (0..8)
        .map(|n| tokio::spawn(chat(at, Duration::from_millis(n * 20))))
        .collect();
    sleep(HALF_SECOND).await;
    fleet.entries[0].signal("TERM");
    sleep(Duration::from_millis(100)).await;
    let ready = Call::get(admin, "/ready").send().await.unwrap();
    assert_eq!(ready.status, 503);
    assert_eq!(chat(at, Duration::ZERO).await, 1);
    for chat in chats {
        assert!(chat.await.unwrap() > 1);
    }
    assert!(fleet.entries[0].wait().success());
}

#[tokio::test]
async fn long_answer() {
    // A request runs for three seconds when the stop begins: it is answered whole.
    let mut fleet = Fleet::start(1, 1);
    fleet.open(100).await;
    let at = fleet.callers[0];
    let long = tokio::spawn(async move {
        let mut caller = Caller::connect(at).await;
        caller
            .send("POST", &[("x-sleep-ms", "3000")], "fatigue replay")
            .await
    });
    sleep(HALF_SECOND).await;
    fleet.entries[0].signal("TERM");
    let reply = long.await.unwrap().unwrap();
    assert_eq!(reply.body.as_deref(), Some(b"fatigue replay".as_slice()));
    assert!(fleet.entries[0].wait().success());
}

#[tokio::test]
async fn idle_caller() {
    // A keep-alive connection is idle when the stop begins and sends its next request after
    // the listener is closed. It is answered, as the last one.
    let mut fleet = Fleet::start(1, 1);
    fleet.open(100).await;
    let mut caller = Caller::connect(fleet.callers[0]).await;
    caller.send("POST", &[], "first").await.unwrap();
    fleet.entries[0].signal("TERM");
    sleep(HALF_SECOND * 3).await;
    let reply = caller.send("POST", &[], "second").await.unwrap();
    assert_eq!(reply.body.as_deref(), Some(b"second".as_slice()));
    assert_eq!(reply.header("connection"), "close");
    assert!(fleet.entries[0].wait().success());
}

#[tokio::test]
async fn half_sent() {
    // Two callers have sent half of a request's head when the stop begins, one on a new
    // connection and one after a first request, and the rest comes later than an idle
    // connection would be kept. Both are answered.
    let mut fleet = Fleet::start(1, 1);
    fleet.open(100).await;
    let mut new = TcpStream::connect(fleet.callers[0]).await.unwrap();
    let mut used = TcpStream::connect(fleet.callers[0]).await.unwrap();
    let head = b"POST /s/echo/x HTTP/1.1\r\nhost: e\r\n";
    let rest = b"authorization: Bearer team-key\r\ncontent-length: 4\r\n\r\nrest";
    used.write_all(&[&head[..], &rest[..]].concat())
        .await
        .unwrap();
    let mut first = [0; 1024];
    let len = used.read(&mut first).await.unwrap();
    assert!(first[..len].ends_with(b"rest"));
    new.write_all(head).await.unwrap();
    used.write_all(head).await.unwrap();
    sleep(HALF_SECOND).await;
    fleet.entries[0].signal("TERM");
    sleep(HALF_SECOND * 8).await;
    for mut stream in [new, used] {
        stream.write_all(rest).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        let whole = answer.starts_with("HTTP/1.1 200") && answer.ends_with("rest");
        assert!(whole, "{answer}");
    }
    assert!(fleet.entries[0].wait().success());
}

#[tokio::test]
async fn suspended_close() {
    // The process gets no processor time while idle connections become due to be closed and
    // requests arrive on them. They were sent before the close, so each is answered.
    let mut fleet = Fleet::start(1, 1);
    fleet.open(1_000).await;
    let mut callers = Vec::new();
    for _ in 0..40 {
        let mut caller = Caller::connect(fleet.callers[0]).await;
        caller.send("POST", &[], "first").await.unwrap();
        callers.push(caller);
    }
    fleet.entries[0].signal("TERM");
    sleep(Duration::from_millis(2_300)).await;
    fleet.entries[0].signal("STOP");
    let calls = callers
        .into_iter()
        .map(|mut caller| tokio::spawn(async move { caller.send("POST", &[], "second").await }));
    let calls: Vec<_> = calls.collect();
    sleep(HALF_SECOND).await;
    fleet.entries[0].signal("CONT");
    let mut cut = 0;
    for call in calls {
        cut += usize::from(call.await.unwrap().is_err());
    }
    assert_eq!(cut, 0, "requests cut");
    assert!(fleet.entries[0].wait().success());
}

/// A fleet whose entries drain for a second, and callers that each send one long request.
async fn start_draining(requests: usize) -> (Fleet, Vec<JoinHandle<Result<Reply, hyper::Error>>>) {
    let mut fleet = Fleet::start(1, 0);
    fleet.limits = json!({ "drain_ms": 1000 });
    fleet.add_entry();
    fleet.open(100).await;
    let at = fleet.callers[0];
    let calls = (0..requests).map(|_| {
        tokio::spawn(async move {
            let mut caller = Caller::connect(at).await;
            caller.send("POST", &[("x-sleep-ms", "8000")], "long").await
        })
    });
    let calls = calls.collect();
    sleep(HALF_SECOND).await;
    (fleet, calls)
}

#[tokio::test]
async fn drain_over() {
    // Requests run or wait for a slot when the time of the drain is over: each is refused, with
    // the truth on whether it ran, instead of being cut by the exit.
    let (mut fleet, calls) = start_draining(12).await;
    fleet.entries[0].signal("TERM");
    let mut codes = Vec::new();
    for call in calls {
        let reply = call.await.unwrap();
        let reply = reply.unwrap_or_else(|e| panic!("cut: {e}"));
        assert_eq!(reply.header("connection"), "close");
        codes.push((reply.code().to_owned(), reply.ran().to_owned()));
    }
    let unrun = codes.iter().filter(|(_, ran)| ran == "not-run").count();
    assert_eq!(fleet.runs(0).await.len(), calls_run(&codes), "{codes:?}");
    assert!(unrun > 0 && unrun < 12, "{codes:?}");
    assert!(fleet.entries[0].wait().success());
}

/// Requests that are not said to have not run.
fn calls_run(codes: &[(String, String)]) -> usize {
    codes.iter().filter(|(_, ran)| ran != "not-run").count()
}

#[tokio::test]
async fn late_request() {
    // The log is absent, so units cannot be handed back and the exit comes 3 s after the drain.
    // Requests on connections that are still open then are answered or refused, not cut.
    let (mut fleet, _) = start_draining(0).await;
    let mut callers = Vec::new();
    for _ in 0..40 {
        callers.push(Caller::connect(fleet.callers[0]).await);
    }
    fleet.fault(&json!({ "down": true })).await;
    fleet.entries[0].signal("TERM");
    let calls = callers.into_iter().enumerate().map(|(n, mut caller)| {
        tokio::spawn(async move {
            sleep(Duration::from_millis(n as u64 * 125)).await;
            let sent = Instant::now();
            let reply = caller.send("POST", &[("x-sleep-ms", "3000")], "late").await;
            (n, sent.elapsed(), reply)
        })
    });
    let calls: Vec<_> = calls.collect();
    let mut answered = 0;
    for call in calls {
        let (n, took, reply) = call.await.unwrap();
        match reply {
            Ok(_) => answered += 1,
            // The caller could not know yet that the connection is being closed.
            Err(e) => assert!(took < SLACK, "request {n} was cut after {took:?}: {e}"),
        }
    }
    assert!(answered > 8, "{answered} answered");
    assert!(fleet.entries[0].wait().success());
}

#[tokio::test]
async fn stopped_early() {
    // An entry that has no state yet is stopped: until it exits, its refusals say that it is not
    // in service, and not that the service or the key is unknown.
    let mut fleet = Fleet::start(1, 0);
    fleet.fault(&json!({ "down": true })).await;
    fleet.add_entry();
    let mut callers = Vec::new();
    for _ in 0..2 {
        callers.push(Caller::connect(fleet.callers[0]).await);
    }
    let before = callers[0].send("POST", &[], "early").await.unwrap();
    assert_eq!((before.status.as_u16(), before.code()), (503, "206"));
    fleet.entries[0].signal("TERM");
    sleep(Duration::from_millis(100)).await;
    let after = callers[1].send("POST", &[], "early").await.unwrap();
    assert_eq!(after.status, 503, "code {}", after.code());
    assert!(fleet.entries[0].wait().success());
}

#[tokio::test]
async fn second_signal() {
    // The platform repeats its signal, and an operator presses Ctrl-C, while a request runs: it
    // is answered whole.
    let mut fleet = Fleet::start(1, 1);
    fleet.open(100).await;
    let at = fleet.callers[0];
    let long = tokio::spawn(async move {
        let mut caller = Caller::connect(at).await;
        caller.send("POST", &[("x-sleep-ms", "3000")], "long").await
    });
    sleep(HALF_SECOND).await;
    for name in ["TERM", "TERM", "INT", "TERM"] {
        fleet.entries[0].signal(name);
        sleep(HALF_SECOND).await;
    }
    let reply = long.await.unwrap().unwrap();
    assert_eq!(reply.body.as_deref(), Some(b"long".as_slice()));
    assert!(fleet.entries[0].wait().success());
}
