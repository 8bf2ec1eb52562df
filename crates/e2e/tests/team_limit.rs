//! A team's upper limit over the whole fleet, counted where the work runs.

use std::time::Duration;

use cactuswheel_e2e::{Caller, Fleet, OPERATOR_KEY};
use cactuswheel_http::Call;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Times short enough to wait for.
fn limits() -> Value {
    json!({"fence_ms": 1_500, "run_ms": 1_500, "cut_ms": 5_000})
}

/// Three entries, one upstream with slots for all, a team that may run 4.
async fn fleet() -> Fleet {
    let mut fleet = Fleet::start(1, 0);
    fleet.limits = limits();
    (0..3).for_each(|_| fleet.add_entry());
    let mut first = fleet.first_ticket(4);
    for change in first["changes"].as_array_mut().unwrap() {
        if change.get("instance").is_some() {
            change["instance"]["slots"] = json!(64);
        }
    }
    for admin in &fleet.admins {
        fleet.wait_status(*admin, |s| s["open"] == true).await;
    }
    assert_eq!(fleet.apply(0, &first).0, Some(0));
    fleet.settle(1).await;
    fleet
}

/// Callers at every entry until `until`, each with one request after the other that runs for
/// `millis`.
fn load(fleet: &Fleet, until: Instant, millis: &'static str) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    for at in fleet.callers.clone() {
        for _ in 0..8 {
            callers.spawn(async move {
                while Instant::now() < until {
                    sleep(Duration::from_millis(20)).await;
                    let Some(mut caller) = Caller::try_connect(at).await else {
                        continue;
                    };
                    let headers = [("x-sleep-ms", millis)];
                    let sent = caller.send("POST", &headers, "x");
                    let _ = timeout(Duration::from_secs(2), sent).await;
                }
            });
        }
    }
    callers
}

/// Most that ran at once, and how many ran at all.
async fn most(fleet: &Fleet) -> (u32, usize) {
    let runs = fleet.runs(0).await;
    (runs.iter().map(|r| r.beside).max().unwrap_or(0), runs.len())
}

#[tokio::test]
async fn burst_everywhere() {
    // Callers send much more than the team's limit to every entry at once.
    let fleet = fleet().await;
    let mut callers = load(&fleet, Instant::now() + Duration::from_secs(3), "150");
    while callers.join_next().await.is_some() {}
    let (most, ran) = most(&fleet).await;
    assert_eq!(most, 4);
    assert!(ran > 30, "{ran} ran");
}

#[tokio::test]
async fn killed_and_frozen() {
    // One entry is killed with work running and replaced; later one is frozen with work running
    // and wakes late. What they started runs on upstream; nobody takes their units before it
    // can have ended.
    let mut fleet = fleet().await;
    let mut callers = load(&fleet, Instant::now() + Duration::from_secs(15), "1200");
    sleep(Duration::from_millis(700)).await;
    fleet.entries[2].signal("KILL");
    fleet.restart_entry(2);
    sleep(Duration::from_secs(5)).await;
    fleet.entries[1].signal("STOP");
    sleep(Duration::from_secs(7)).await;
    fleet.entries[1].signal("CONT");
    while callers.join_next().await.is_some() {}
    let (most, ran) = most(&fleet).await;
    assert_eq!(most, 4, "of {ran}");
    wait_caps(&fleet, 4).await;
}

#[tokio::test]
async fn limit_lowered() {
    // The limit is lowered under load. It is said to hold only when no more than that runs.
    let fleet = fleet().await;
    let mut callers = load(&fleet, Instant::now() + Duration::from_secs(4), "150");
    sleep(Duration::from_millis(700)).await;
    let team = json!({"team": {"id": "ads", "share": 1, "limit": 2}});
    let ticket = json!({"ticket": 2, "changes": [team]});
    assert_eq!(fleet.apply(0, &ticket).0, Some(0));
    wait_caps(&fleet, 2).await;
    let before = fleet.runs(0).await.len();
    while callers.join_next().await.is_some() {}
    let runs = fleet.runs(0).await;
    let after = &runs[before..];
    assert!(after.len() > 5, "{} ran", after.len());
    assert!(after.iter().all(|r| r.beside <= 2));
}

/// Waits until all of `limit` is given out and no more than it is occupied.
async fn wait_caps(fleet: &Fleet, limit: u64) {
    let until = Instant::now() + Duration::from_secs(15);
    loop {
        let call = Call::get(fleet.admins[0], "/v1/allotments").with_key(OPERATOR_KEY);
        let got: Value = call.send().await.unwrap().json().unwrap();
        let split = &got["items"][0];
        let caps = split["entries"].as_array().unwrap().iter();
        let caps: u64 = caps.map(|e| e["cap"].as_u64().unwrap()).sum();
        if split["limit"] == limit && split["holds"] == true && caps == limit {
            return;
        }
        assert!(Instant::now() < until, "{split}");
        sleep(Duration::from_millis(50)).await;
    }
}
