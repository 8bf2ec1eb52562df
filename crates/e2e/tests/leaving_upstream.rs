//! A leaving upstream gets no new work after a few seconds.

use std::time::Duration;

use cactuswheel_e2e::{Caller, Fleet};
use cactuswheel_http::Call;
use serde_json::json;
use tokio::time::sleep;

/// Time in which an entry has read the roster at least twice.
const TWO_READS: Duration = Duration::from_millis(1_300);

async fn send(fleet: &Fleet, count: usize) {
    for entry in &fleet.callers {
        for _ in 0..count {
            let mut caller = Caller::connect(*entry).await;
            let reply = caller.send("POST", &[], "x").await.unwrap();
            assert_eq!(reply.status, 200);
        }
    }
}

/// Sends eight requests at once through each entry: more than one upstream gets by choice.
async fn burst(fleet: &Fleet) {
    let mut tasks = Vec::new();
    for entry in fleet.callers.iter().flat_map(|at| [*at; 8]) {
        tasks.push(tokio::spawn(async move {
            let mut caller = Caller::connect(entry).await;
            let slow = [("x-sleep-ms", "50")];
            caller.send("POST", &slow, "x").await.unwrap().status
        }));
    }
    for task in tasks {
        assert_eq!(task.await.unwrap(), 200);
    }
}

#[tokio::test]
async fn listed_again() {
    // The roster lists an upstream as leaving, then an old copy of the roster lists it as live.
    // New work would be cut by its end, so it gets none until it has started anew.
    let fleet = Fleet::start(2, 2);
    fleet.open(100).await;
    let at = fleet.upstream_addrs[0];
    fleet.list("w1", 1, at, "leaving").await;
    fleet.settle(1).await;
    fleet.list("w1", 1, at, "live").await;
    sleep(TWO_READS).await;
    let before = fleet.runs(0).await.len();
    burst(&fleet).await;
    assert_eq!(fleet.runs(0).await.len(), before);
    fleet.list("w1", 2, at, "live").await;
    fleet.settle(2).await;
    burst(&fleet).await;
    assert!(fleet.runs(0).await.len() > before);
}

#[tokio::test]
async fn own_word() {
    // The platform is down, so the roster tells nothing. The upstream says in its answers that
    // it leaves: each entry stops sending with the first such answer.
    let fleet = Fleet::start(2, 2);
    fleet.open(100).await;
    burst(&fleet).await;
    assert!(!fleet.runs(0).await.is_empty());
    fleet.fault(&json!({"down": true})).await;
    let leave = Call::post(fleet.upstream_addrs[0], "/leave").send().await;
    assert!(leave.is_ok_and(|a| a.status == 200));
    burst(&fleet).await;
    let told = fleet.runs(0).await.len();
    send(&fleet, 20).await;
    burst(&fleet).await;
    sleep(TWO_READS).await;
    burst(&fleet).await;
    assert_eq!(fleet.runs(0).await.len(), told);
}

#[tokio::test]
async fn platform_down() {
    // Without the platform the entries go on with the upstreams they know.
    let fleet = Fleet::start(2, 2);
    fleet.open(100).await;
    fleet.fault(&json!({"down": true})).await;
    sleep(TWO_READS).await;
    burst(&fleet).await;
    assert!(!fleet.runs(0).await.is_empty());
    assert!(!fleet.runs(1).await.is_empty());
}
