//! A maintenance wave over real processes.

use std::time::Duration;

use cactuswheel_e2e::{Fleet, OPERATOR_KEY, Process, TEAM_KEY};
use cactuswheel_http::{Answer, Call};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Time within which a wave has to get on.
const LIMIT: Duration = Duration::from_secs(60);

/// A fleet of two entries with `upstreams` in one pool, one of which may be down.
async fn fleet(upstreams: usize) -> Fleet {
    let fleet = Fleet::start(upstreams, 2);
    let mut ticket = fleet.first_ticket(32);
    ticket["changes"][3]["service"]["max_down"] = json!(1);
    let (status, text) = fleet.apply(0, &ticket);
    assert_eq!(status, Some(0), "{text}");
    fleet.settle(upstreams).await;
    platform(&fleet, "/reboots", json!({"millis": 700})).await;
    fleet
}

async fn platform(fleet: &Fleet, path: &str, body: Value) {
    let call = Call::post(fleet.platform_addr, path).with_json(&body);
    assert_eq!(call.unwrap().send().await.unwrap().status, 200);
}

async fn wish(fleet: &Fleet, entry: usize, body: Value) -> Answer {
    let call = Call::post(fleet.admins[entry], "/v1/maintenance").with_key(OPERATOR_KEY);
    call.with_json(&body)
        .unwrap()
        .with_timeout(LIMIT)
        .send()
        .await
        .unwrap()
}

async fn shown(fleet: &Fleet, entry: usize) -> Value {
    let call = Call::get(fleet.admins[entry], "/v1/maintenance").with_key(OPERATOR_KEY);
    call.send().await.unwrap().json().unwrap()
}

async fn wait(fleet: &Fleet, entry: usize, wanted: impl Fn(&Value) -> bool) -> Value {
    let until = Instant::now() + LIMIT;
    loop {
        let shown = shown(fleet, entry).await;
        if wanted(&shown) {
            return shown;
        }
        assert!(Instant::now() < until, "stays at {shown}");
        sleep(Duration::from_millis(100)).await;
    }
}

/// The platform's own record of what went down and came back.
async fn history(fleet: &Fleet) -> Vec<Value> {
    let call = Call::get(fleet.platform_addr, "/worker-history");
    call.send().await.unwrap().json().unwrap()
}

/// No more than the budget was down at once, and no reboot hit running work.
fn check(history: &[Value], instances: usize) {
    for outage in history {
        assert!(outage["rebooting"].as_u64() <= Some(1), "{outage}");
        assert!(outage["running"].as_u64().unwrap_or(0) == 0, "{outage}");
    }
    let down = history.iter().filter(|o| o["down"] == true).count();
    assert_eq!(down, instances, "each reboots once: {history:?}");
}

async fn post(fleet: &Fleet, entry: usize, pause: u64) -> u16 {
    let path = format!("/s/echo/{pause}");
    let call = Call::post(fleet.callers[entry], path).with_key(TEAM_KEY);
    call.with_json(&"reel")
        .unwrap()
        .send()
        .await
        .unwrap()
        .status
        .as_u16()
}

#[tokio::test]
async fn killed_entry() {
    // The entry that drives the wave is killed in the middle of it. The other one goes on
    // from the log; no instance reboots twice, never two at once, and callers of the entry
    // that lives see nothing of it all.
    let fleet = fleet(5).await;
    let answer = wish(&fleet, 0, json!({"start": {}})).await;
    assert_eq!(answer.status, 200, "{:?}", answer.body);
    wait(&fleet, 1, |s| s["done"].as_u64() >= Some(1)).await;
    fleet.entries[0].signal("KILL");
    let mut statuses = Vec::new();
    let until = Instant::now() + LIMIT;
    while shown(&fleet, 1).await["done"] != 5 && Instant::now() < until {
        statuses.push(post(&fleet, 1, 5).await);
        sleep(Duration::from_millis(20)).await;
    }
    wait(&fleet, 1, |s| s["done"] == 5 && s["outages"] == json!([])).await;
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
    check(&history(&fleet).await, 5);
}

#[tokio::test]
async fn frozen_entry() {
    // The entry that drives the wave is frozen in the middle of it, and thawed when the other
    // has brought the wave to its end. What it still had in hand takes nothing down again.
    let fleet = fleet(4).await;
    wish(&fleet, 0, json!({"start": {}})).await;
    wait(&fleet, 1, |s| s["done"].as_u64() >= Some(1)).await;
    fleet.entries[0].signal("STOP");
    wait(&fleet, 1, |s| s["done"] == 4 && s["outages"] == json!([])).await;
    fleet.entries[0].signal("CONT");
    sleep(Duration::from_secs(4)).await;
    wait(&fleet, 0, |s| s["done"] == 4 && s["outages"] == json!([])).await;
    check(&history(&fleet).await, 4);
}

#[tokio::test]
async fn dark_platform() {
    // The platform is down for a while in the middle of a wave. Entries go on serving, nothing
    // new goes down, and the wave ends by itself afterwards.
    let fleet = fleet(4).await;
    wish(&fleet, 1, json!({"start": {}})).await;
    wait(&fleet, 0, |s| s["done"].as_u64() >= Some(1)).await;
    platform(&fleet, "/fault", json!({"down": true})).await;
    sleep(Duration::from_secs(2)).await;
    let before = history(&fleet).await.len();
    for entry in [0, 1, 0, 1] {
        assert_eq!(post(&fleet, entry, 5).await, 200);
        sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(history(&fleet).await.len(), before);
    platform(&fleet, "/fault", json!({})).await;
    wait(&fleet, 0, |s| s["done"] == 4 && s["outages"] == json!([])).await;
    check(&history(&fleet).await, 4);
}

#[tokio::test]
async fn stuck_instance() {
    // An instance does not come back from its reboot. It holds the budget, the operator sees
    // why the wave waits, and pausing and going on change nothing about that.
    let fleet = fleet(3).await;
    let stuck = json!({"millis": 700, "stuck": ["w1"]});
    platform(&fleet, "/reboots", stuck).await;
    wish(&fleet, 0, json!({"start": {}})).await;
    let says = |s: &Value, words: &str| s["waits"].to_string().contains(words);
    wait(&fleet, 0, |s| {
        says(s, "w1 is not back from its reboot") && says(s, "2 wait: pool render: 1 of 3 down")
    })
    .await;
    wish(&fleet, 1, json!({"pause": {}})).await;
    wait(&fleet, 0, |s| says(s, "paused by ana")).await;
    assert_eq!(wish(&fleet, 1, json!({"start": {}})).await.status, 409);
    wish(&fleet, 1, json!({"resume": {}})).await;
    assert_eq!(shown(&fleet, 1).await["done"], 0);
    platform(&fleet, "/workers/w1/return", json!({})).await;
    wait(&fleet, 1, |s| s["done"] == 3).await;
    check(&history(&fleet).await, 3);
}

/// Runs the command line at an entry; its output.
fn cli(fleet: &Fleet, entry: usize, words: &[&str]) -> String {
    let at = fleet.admins[entry].to_string();
    let args = [&["--entry", &at, "--key", OPERATOR_KEY], words].concat();
    let output = Process::output("cactuswheel", &args);
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text).into_owned();
    assert!(output.status.success(), "{words:?}: {text}");
    text
}

#[tokio::test]
async fn planned_moves() {
    // All of a pool's instances landed in one rack, so its loss would take everything. The
    // operator sees the plan and the numbers, applies it at one entry, and the instances of
    // another rack join one after the other while callers go on.
    let fleet = Fleet::start(8, 2);
    let mut ticket = fleet.first_ticket(32);
    ticket["changes"][3]["service"]["max_down"] = json!(1);
    ticket["changes"][3]["service"]["demand"] = json!(16);
    for n in 5..=8 {
        ticket["changes"][5 + n] = Fleet::instance(n, "spare");
    }
    let (status, text) = fleet.apply(0, &ticket);
    assert_eq!(status, Some(0), "{text}");
    fleet.settle(8).await;
    let plan = cli(&fleet, 0, &["plan", "show"]);
    assert!(plan.contains("demand") && plan.contains("w5"), "{plan}");
    cli(&fleet, 1, &["plan", "apply"]);
    let until = Instant::now() + LIMIT;
    while cli(&fleet, 0, &["--json", "plan", "show"]).contains("\"instance\"") {
        assert!(
            Instant::now() < until,
            "{}",
            cli(&fleet, 0, &["plan", "show"])
        );
        assert_eq!(post(&fleet, 0, 5).await, 200);
        sleep(Duration::from_millis(100)).await;
    }
    let instances = cli(&fleet, 1, &["instances", "--pool", "render"]);
    assert!(
        instances.contains("w5") && instances.contains("w6"),
        "{instances}"
    );
    wait(&fleet, 1, |s| s["outages"] == json!([])).await;
    let text = cli(&fleet, 0, &["maintenance", "show"]);
    assert!(text.contains("no wave has begun"), "{text}");
}
