//! Tickets when operators race and the log is slow.

use cactuswheel_e2e::{Fleet, OPERATOR_KEY, TEAM_KEY};
use cactuswheel_http::{Answer, Call};
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::Duration;

/// Longer than an entry waits for the answer to an append.
fn team(ticket: u64, limit: u64) -> Value {
    json!({"ticket": ticket, "changes": [{"team": {"id": "ads", "share": 1, "limit": limit}}]})
}

fn put(fleet: &Fleet, entry: usize, ticket: &Value) -> impl Future<Output = Answer> + use<> {
    let call = Call::post(fleet.admins[entry], "/v1/tickets").with_key(OPERATOR_KEY);
    let call = call.with_json(ticket).unwrap();
    async {
        call.with_timeout(Duration::from_secs(20))
            .send()
            .await
            .unwrap()
    }
}

async fn limit(fleet: &Fleet, entry: usize) -> Value {
    fleet.admin(entry, "/v1/config").await["teams"]["ads"]["limit"].clone()
}

#[tokio::test]
async fn racing_numbers() {
    // Two operators put different tickets of one number in at two entries at the same time.
    // One is told success, the other code 402, and both entries hold what the first one wrote.
    let fleet = Fleet::start(1, 2);
    fleet.open(8).await;
    for number in 2..12 {
        let (one, two) = (team(number, number * 10), team(number, number * 10 + 1));
        let (one, two) = tokio::join!(put(&fleet, 0, &one), put(&fleet, 1, &two));
        let mut statuses = [one.status.as_u16(), two.status.as_u16()];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "ticket {number}");
        let won = json!(number * 10 + u64::from(two.status == 200));
        let next = |s: &Value| s["next"].as_u64() >= Some(2 * number - 1);
        for entry in 0..2 {
            fleet.wait_status(fleet.admins[entry], next).await;
            assert_eq!(limit(&fleet, entry).await, won);
        }
    }
}

#[tokio::test]
async fn shared_append() {
    // Sixty tickets come in at one entry at once. One append carries what waits, so the log
    // sees a handful, and every ticket still gets its own outcome.
    let fleet = Fleet::start(1, 1);
    fleet.open(8).await;
    let appends = || async {
        let call = Call::get(fleet.platform_addr, "/appends");
        call.send().await.unwrap().json::<[u64; 2]>().unwrap()[0]
    };
    let before = appends().await;
    let mut all = JoinSet::new();
    for number in 2..62 {
        let pool = json!({"pool": {"id": format!("p{number}")}});
        let ticket = json!({"ticket": number, "changes": [pool]});
        all.spawn(put(&fleet, 0, &ticket));
    }
    while let Some(answer) = all.join_next().await {
        assert_eq!(answer.unwrap().status, 200);
    }
    let after = appends().await - before;
    assert!(after <= 10, "{after} appends for 60 tickets");
}

#[tokio::test]
async fn slow_log() {
    // Every call takes longer than the entry waits for an append, so its answer is lost after
    // it took effect. The ticket is read back all the same, and the operator gets a success
    // that is true.
    let fleet = Fleet::start(1, 1);
    fleet.open(8).await;
    fleet.fault(&json!({"slow": 3500})).await;
    let answer = put(&fleet, 0, &team(2, 5)).await;
    assert_eq!(answer.status, 200, "{:?}", answer.body);
    assert_eq!(limit(&fleet, 0).await, 5);
}

#[tokio::test]
async fn late_repeat() {
    // An operator sends a ticket again after a newer one changed the same object: the first
    // result comes back and nothing reverts.
    let fleet = Fleet::start(1, 2);
    fleet.open(8).await;
    let first = put(&fleet, 0, &team(2, 5)).await;
    assert_eq!(first.status, 200);
    assert_eq!(put(&fleet, 1, &team(3, 6)).await.status, 200);
    let again = put(&fleet, 1, &team(2, 5)).await;
    assert_eq!(again.status, 200);
    assert_eq!(again.body, first.body);
    assert_eq!(limit(&fleet, 1).await, 6);
}

#[tokio::test]
async fn key_in_reason() {
    // An operator pastes a key into the reason. It must not reach the log, where everybody who
    // reads the log would find it.
    let fleet = Fleet::start(1, 1);
    fleet.open(8).await;
    for key in [TEAM_KEY, OPERATOR_KEY] {
        let mut ticket = team(2, 5);
        ticket["reason"] = json!(format!("for ana (\"{key}\")"));
        assert_eq!(put(&fleet, 0, &ticket).await.status, 400);
    }
    let log = Call::get(fleet.platform_addr, "/log/fleet?from=0&max=100");
    let log = log.send().await.unwrap().body;
    let log = String::from_utf8_lossy(&log);
    assert!(!log.contains(TEAM_KEY) && !log.contains(OPERATOR_KEY));
}
