//! A withdrawn key stops working within seconds, also where the platform is out of reach.

use std::time::Duration;

use cactuswheel_e2e::{Fleet, OPERATOR_KEY, TEAM_KEY};
use cactuswheel_http::Call;
use cactuswheel_model::Digest;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Time in which a withdrawal has to be in force at every entry.
const SECONDS: Duration = Duration::from_secs(5);

async fn code(fleet: &Fleet, entry: usize) -> u64 {
    let call = Call::get(fleet.callers[entry], "/s/echo/").with_key(TEAM_KEY);
    let answer = call.send().await.unwrap();
    answer
        .json::<Value>()
        .map_or(0, |v| v["code"].as_u64().unwrap())
}

async fn wait_denied(fleet: &Fleet, entry: usize) {
    let until = Instant::now() + SECONDS;
    while code(fleet, entry).await != 103 {
        assert!(Instant::now() < until, "entry {entry} still takes the key");
        sleep(Duration::from_millis(50)).await;
    }
}

async fn deny(fleet: &Fleet, entry: usize) -> Value {
    let call = Call::post(fleet.admins[entry], "/v1/denials").with_key(OPERATOR_KEY);
    let digest = Digest::of(TEAM_KEY.as_bytes());
    let answer = call
        .with_json(&json!({"digest": digest}))
        .unwrap()
        .send()
        .await;
    answer.unwrap().json().unwrap()
}

#[tokio::test]
async fn cut_off_entries() {
    // The platform is down, so no ticket can withdraw the key. An operator tells one entry. It
    // refuses the key at once and its peer within seconds. When the platform is back the log
    // gets to know, and an entry that starts then refuses the key too.
    let mut fleet = Fleet::start(1, 2);
    fleet.open(8).await;
    assert_eq!(code(&fleet, 0).await, 0);
    fleet.fault(&json!({"down": true})).await;
    assert_eq!(deny(&fleet, 0).await["recorded"], false);
    assert_eq!(code(&fleet, 0).await, 103);
    let told = Instant::now();
    wait_denied(&fleet, 1).await;
    println!("denied at the peer after {:?}", told.elapsed());

    fleet.fault(&json!({})).await;
    let recorded = |s: &Value| s["items"][0]["withdrawn"] == true;
    wait(&fleet, "/v1/keys", recorded).await;
    for entry in &fleet.entries {
        entry.signal("KILL");
    }
    fleet.add_entry();
    wait_denied(&fleet, 2).await;
}

#[tokio::test]
async fn ticket_spreads() {
    // An operator withdraws the key by a ticket at one entry; the other refuses it soon after.
    let fleet = Fleet::start(1, 2);
    fleet.open(8).await;
    let digest = Digest::of(TEAM_KEY.as_bytes());
    let key = json!({"key": {"digest": digest, "team": "ads", "withdrawn": true}});
    let ticket = json!({"ticket": 2, "changes": [key]});
    assert_eq!(fleet.apply(0, &ticket).0, Some(0));
    wait_denied(&fleet, 1).await;
}

#[tokio::test]
async fn only_operators() {
    let fleet = Fleet::start(1, 1);
    fleet.open(8).await;
    let digest = Digest::of(TEAM_KEY.as_bytes());
    for call in [
        Call::post(fleet.admins[0], "/v1/denials").with_key(TEAM_KEY),
        Call::post(fleet.admins[0], "/v1/denials"),
    ] {
        let answer = call
            .with_json(&json!({"digest": digest}))
            .unwrap()
            .send()
            .await
            .unwrap();
        assert_eq!(answer.status, 401);
    }
    assert_eq!(code(&fleet, 0).await, 0);
}

async fn wait(fleet: &Fleet, path: &str, wanted: impl Fn(&Value) -> bool) {
    let until = Instant::now() + 2 * SECONDS;
    loop {
        let call = Call::get(fleet.admins[0], path).with_key(OPERATOR_KEY);
        let got: Value = call.send().await.unwrap().json().unwrap();
        if wanted(&got) {
            return;
        }
        assert!(Instant::now() < until, "{path} stays at {got}");
        sleep(Duration::from_millis(50)).await;
    }
}
