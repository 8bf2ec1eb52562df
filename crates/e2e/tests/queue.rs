//! Requests that wait for a unit of their team.

use std::time::Duration;

use cactuswheel_e2e::{Caller, Fleet, OPERATOR_KEY, Reply, TEAM_KEY};
use cactuswheel_http::Call;
use cactuswheel_model::Digest;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Sends a request in the background; later ones come later.
async fn send(fleet: &Fleet, headers: &[(&'static str, &'static str)]) -> JoinHandle<Reply> {
    let (at, headers) = (fleet.callers[0], headers.to_vec());
    let sent = tokio::spawn(async move {
        let mut caller = Caller::connect(at).await;
        caller.send("POST", &headers, "x").await.unwrap()
    });
    sleep(Duration::from_millis(60)).await;
    sent
}

/// One entry and a team that may run one request at once.
async fn fleet() -> Fleet {
    let fleet = Fleet::start(1, 1);
    fleet.open(1).await;
    fleet
}

#[tokio::test]
async fn urgent_first() {
    let fleet = fleet().await;
    let mut sent = Vec::new();
    for id in ["a", "b", "c"] {
        let headers = [("x-request-id", id), ("x-sleep-ms", "400")];
        sent.push(send(&fleet, &headers).await);
    }
    let urgent = [("x-request-id", "now"), ("x-priority", "urgent")];
    sent.push(send(&fleet, &urgent).await);
    for reply in sent {
        assert_eq!(reply.await.unwrap().status, 200);
    }
    let ran: Vec<_> = fleet.runs(0).await.into_iter().map(|r| r.request).collect();
    assert_eq!(ran, ["a", "now", "b", "c"]);
}

#[tokio::test]
async fn told_when() {
    // The queue is longer than the request's deadline: it is refused at once, not when the
    // deadline has passed, and told when to come back. What it was told is true: it never ran.
    let fleet = fleet().await;
    let run = [("x-sleep-ms", "500")];
    send(&fleet, &run).await.await.unwrap();
    let mut sent = Vec::new();
    for _ in 0..4 {
        sent.push(send(&fleet, &run).await);
    }
    let asked = Instant::now();
    let late = [("x-request-id", "late"), ("x-deadline-ms", "700")];
    let reply = send(&fleet, &late).await.await.unwrap();
    assert!(asked.elapsed() < Duration::from_millis(500));
    assert_eq!((reply.code(), reply.ran()), ("203", "not-run"));
    assert!(["1", "2"].contains(&reply.header("retry-after")));
    for reply in sent {
        assert_eq!(reply.await.unwrap().status, 200);
    }
    assert!(fleet.runs(0).await.iter().all(|r| r.request != "late"));
}

#[tokio::test]
async fn withdrawn_waiting() {
    // The key is withdrawn while one request runs and one waits: the first ends well, the
    // second is refused without having run.
    let fleet = fleet().await;
    let first = send(&fleet, &[("x-sleep-ms", "600")]).await;
    let second = send(&fleet, &[]).await;
    let call = Call::post(fleet.admins[0], "/v1/denials").with_key(OPERATOR_KEY);
    let digest = Digest::of(TEAM_KEY.as_bytes());
    let call = call.with_json(&json!({"digest": digest})).unwrap();
    assert_eq!(call.send().await.unwrap().status, 200);
    assert_eq!(first.await.unwrap().status, 200);
    assert_eq!(second.await.unwrap().code(), "103");
    assert_eq!(fleet.runs(0).await.len(), 1);
}

#[tokio::test]
async fn caller_gone() {
    // A caller that goes while it waits never runs, and the one behind it does.
    let fleet = fleet().await;
    let first = send(&fleet, &[("x-sleep-ms", "400")]).await;
    let gone = send(&fleet, &[("x-request-id", "gone")]).await;
    gone.abort();
    let last = send(&fleet, &[]).await;
    assert_eq!(first.await.unwrap().status, 200);
    assert_eq!(last.await.unwrap().status, 200);
    assert!(fleet.runs(0).await.iter().all(|r| r.request != "gone"));
}
