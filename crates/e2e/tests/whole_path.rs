//! The thin whole path: callers, entries, upstreams, platform and CLI as separate processes.

use cactuswheel_e2e::{Fleet, TEAM_KEY};
use cactuswheel_http::{Answer, Call};
use serde_json::{Value, json};

async fn post(fleet: &Fleet, entry: usize, text: &str) -> Answer {
    let call = Call::post(fleet.callers[entry], "/s/echo/x").with_key(TEAM_KEY);
    call.with_json(&text).unwrap().send().await.unwrap()
}

#[tokio::test]
async fn both_entries() {
    let fleet = Fleet::start(2, 2);
    let (status, text) = fleet.apply(0, &fleet.first_ticket(8));
    assert_eq!(status, Some(0), "{text}");
    fleet.settle(2).await;
    for entry in 0..2 {
        let answer = post(&fleet, entry, "reel 7").await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body.as_ref(), b"\"reel 7\"");
    }
}

#[tokio::test]
async fn ticket_moves() {
    // An operator moves the only instance that serves to another pool: the next request goes
    // to the other instance. Then the same number with other content is refused.
    let fleet = Fleet::start(2, 2);
    let mut first = fleet.first_ticket(8);
    first["changes"][7] = Fleet::instance(2, "spare");
    assert_eq!(fleet.apply(0, &first).0, Some(0));
    fleet.settle(2).await;
    assert_eq!(runs(&fleet, 0).await.len(), 0);
    post(&fleet, 1, "a").await;
    assert_eq!(runs(&fleet, 0).await.len(), 1);

    let swap = json!({"ticket": 2, "changes": [
        Fleet::instance(1, "spare"), Fleet::instance(2, "render")]});
    let (status, text) = fleet.apply(1, &swap);
    assert_eq!(status, Some(0), "{text}");
    post(&fleet, 1, "b").await;
    assert_eq!(runs(&fleet, 0).await.len(), 1);
    assert_eq!(runs(&fleet, 1).await.len(), 1);

    let other = json!({"ticket": 2, "changes": [Fleet::instance(1, "render")]});
    let (status, text) = fleet.apply(0, &other);
    assert_eq!(status, Some(3), "{text}");
    assert!(text.contains("402"), "{text}");
}

#[tokio::test]
async fn refused_callers() {
    let fleet = Fleet::start(1, 1);
    assert_eq!(fleet.apply(0, &fleet.first_ticket(8)).0, Some(0));
    fleet.settle(1).await;
    let at = fleet.callers[0];
    let code =
        async |call: Call| call.send().await.unwrap().json::<Value>().unwrap()["code"].clone();
    assert_eq!(code(Call::get(at, "/s/echo/")).await, 101);
    assert_eq!(code(Call::get(at, "/s/echo/").with_key("wrong")).await, 102);
    assert_eq!(
        code(Call::get(at, "/s/none/").with_key(TEAM_KEY)).await,
        104
    );
    assert_eq!(code(Call::get(at, "/other").with_key(TEAM_KEY)).await, 104);
    assert_eq!(runs(&fleet, 0).await.len(), 0);
}

async fn runs(fleet: &Fleet, upstream: usize) -> Vec<Value> {
    let call = Call::get(fleet.upstream_addrs[upstream], "/runs");
    call.send().await.unwrap().json().unwrap()
}
