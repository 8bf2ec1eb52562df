//! An operator's day with the command line: real entries, a real log.

use cactuswheel_e2e::{Fleet, OPERATOR_KEY, Process, TEAM_KEY};
use cactuswheel_http::Call;
use cactuswheel_model::Digest;
use serde_json::{Value, json};

/// Runs the CLI with `--json`; its exit status and value.
fn ask(fleet: &Fleet, entry: usize, args: &[&str]) -> (Option<i32>, Value) {
    let (code, out, err) = fleet.cli(entry, &[&["--json"], args].concat());
    let value = serde_json::from_str(&out);
    (
        code,
        value.unwrap_or_else(|e| panic!("{args:?}: {e}: {out}{err}")),
    )
}

async fn status_of(fleet: &Fleet, entry: usize, key: &str) -> (u16, Value) {
    let call = Call::get(fleet.callers[entry], "/s/echo/").with_key(key);
    let answer = call.send().await.unwrap();
    let body = answer.json::<Value>().unwrap_or_default();
    (answer.status.as_u16(), body["code"].clone())
}

#[tokio::test]
async fn ticket_life() {
    let fleet = Fleet::start(2, 2);
    let first = fleet.file("first.json", &fleet.first_ticket(8));
    let first = first.to_str().unwrap();
    assert_eq!(fleet.cli(0, &["ticket", "validate", first]).0, Some(0));
    assert_eq!(fleet.cli(0, &["ticket", "check", first]).0, Some(0));
    assert_eq!(ask(&fleet, 0, &["ticket", "next"]).1, 1);
    let (code, done) = ask(&fleet, 0, &["ticket", "apply", "--wait", first]);
    assert_eq!(code, Some(0), "{done}");
    assert_eq!(done["entries"].as_array().unwrap().len(), 2, "{done}");
    assert_eq!(ask(&fleet, 1, &["ticket", "next"]).1, 2);
    assert_eq!(ask(&fleet, 1, &["ticket", "show", "1"]).1["code"], 0);
    assert_eq!(
        ask(&fleet, 1, &["ticket", "history"]).1["items"][0]["ticket"],
        1
    );
    let (code, _, err) = fleet.cli(0, &["ticket", "show", "7"]);
    assert_eq!(code, Some(3));
    assert!(
        err.starts_with("cactuswheel: 408 ") && err.lines().count() == 1,
        "{err}"
    );

    let moved = json!({"ticket": 2, "changes": [Fleet::instance(2, "spare")]});
    let moved = fleet.file("move.json", &moved);
    let moved = moved.to_str().unwrap();
    let (_, diff) = ask(&fleet, 0, &["ticket", "diff", moved]);
    let fields = json!([{"field": "pool", "before": "render", "after": "spare"}]);
    assert_eq!(diff[0]["fields"], fields);
    // Checking is no putting in: nothing was appended.
    assert_eq!(fleet.cli(0, &["ticket", "check", moved]).0, Some(0));
    assert_eq!(ask(&fleet, 0, &["ticket", "next"]).1, 2);
}

#[tokio::test]
async fn views() {
    let fleet = Fleet::start(2, 1);
    assert_eq!(fleet.apply(0, &fleet.first_ticket(8)).0, Some(0));
    fleet.settle(2).await;
    let items = |view: &str| ask(&fleet, 0, &[view]).1["items"].clone();
    assert_eq!(items("pools")[0]["live"], 2);
    assert_eq!(items("pools")[1]["spare"], true);
    assert_eq!(items("instances")[0]["presence"], "live");
    assert_eq!(items("budgets")[0]["room"], 0);
    assert_eq!(items("services")[0]["pool"], "render");
    assert_eq!(items("teams")[0]["limit"], 8);
    assert_eq!(items("dcs")[0]["region"], "lj");
    let (_, spare) = ask(&fleet, 0, &["instances", "--pool", "spare"]);
    assert_eq!(spare["items"], json!([]));
    let (_, text, _) = fleet.cli(0, &["pools"]);
    assert!(text.starts_with("id ") && text.contains("render"), "{text}");
}

#[tokio::test]
async fn key_life() {
    let fleet = Fleet::start(1, 2);
    assert_eq!(fleet.apply(0, &fleet.first_ticket(8)).0, Some(0));
    fleet.settle(1).await;
    let (code, granted) = ask(&fleet, 0, &["key", "grant", "--wait", "ads"]);
    assert_eq!(code, Some(0), "{granted}");
    let key = granted["key"].as_str().unwrap();
    assert_eq!(status_of(&fleet, 1, key).await.0, 200);
    let output = Process::output_with("cactuswheel", &["key", "digest"], key);
    let digest = String::from_utf8(output.stdout).unwrap();
    assert_eq!(digest.trim(), granted["digest"]);
    let listed = fleet.cli(0, &["--json", "keys", "list"]).1;
    assert!(
        listed.contains(digest.trim()) && !listed.contains(key),
        "{listed}"
    );

    let (code, _) = ask(&fleet, 1, &["key", "withdraw", "--wait", digest.trim()]);
    assert_eq!(code, Some(0));
    assert_eq!(status_of(&fleet, 0, key).await, (401, json!(103)));
    assert_eq!(status_of(&fleet, 0, TEAM_KEY).await.0, 200);
    let unknown = Digest::of(b"unknown").to_string();
    assert_eq!(fleet.cli(0, &["key", "withdraw", &unknown]).0, Some(3));
}

#[tokio::test]
async fn wait_names_silent() {
    // The operator applies a ticket while one entry is frozen: the ticket holds, the command
    // ends in time, and it names the entry that did not confirm.
    let fleet = Fleet::start(1, 2);
    fleet.entries[1].signal("STOP");
    let file = fleet.file("first.json", &fleet.first_ticket(8));
    let entries = format!("{},{}", fleet.admins[0], fleet.admins[1]);
    let args = [
        "ticket",
        "apply",
        "--wait",
        "--within",
        "2",
        "--entries",
        &entries,
    ];
    let (code, done) = ask(&fleet, 0, &[&args[..], &[file.to_str().unwrap()]].concat());
    fleet.entries[1].signal("CONT");
    assert_eq!(code, Some(6), "{done}");
    assert_eq!(done["entries"][0]["in_force"], true);
    assert_eq!(done["entries"][1]["in_force"], false);
    assert!(done["entries"][1]["error"].is_string());
}

#[tokio::test]
async fn entries_status() {
    let mut fleet = Fleet::start(0, 1);
    let gone = fleet.hosts.addr(8081);
    let (code, status) = ask(&fleet, 0, &["status", "--entries", &gone.to_string()]);
    assert_eq!(code, Some(6));
    assert_eq!(status["entries"][0]["entry"], "e1");
    let error = status["entries"][1]["error"].as_str().unwrap();
    assert!(error.starts_with("503 "), "{error}");
    let at = gone.to_string();
    let args = ["--entry", &at, "--key", OPERATOR_KEY, "status"];
    let output = Process::output("cactuswheel", &args);
    assert_eq!(output.status.code(), Some(4));
}

#[tokio::test]
async fn audit_trail() {
    let fleet = Fleet::start(1, 2);
    assert_eq!(fleet.apply(0, &fleet.first_ticket(8)).0, Some(0));
    let more = json!({"team": {"id": "ads", "share": 1, "limit": 16}});
    let file = fleet.file("more.json", &json!({"ticket": 2, "changes": [more]}));
    let file = file.to_str().unwrap();
    assert_eq!(
        fleet.cli(0, &["ticket", "apply", "--wait", file]).0,
        Some(0)
    );
    let (code, text, error) = fleet.cli(1, &["audit", "--object", "team/ads"]);
    assert_eq!(code, Some(0), "{error}");
    assert_eq!(text.lines().count(), 3, "{text}");
    let last = text.lines().last().unwrap();
    assert!(
        last.contains("ana") && last.contains("limit: 8 -> 16"),
        "{text}"
    );
    assert!(last.starts_with("20") && last.contains('Z'), "{text}");
    let (_, rows) = ask(&fleet, 1, &["audit", "--max", "1"]);
    assert_eq!(rows[0]["ticket"], 2);
}

#[tokio::test]
async fn job_commands() {
    let fleet = Fleet::start(1, 1);
    assert_eq!(fleet.apply(0, &fleet.first_ticket(8)).0, Some(0));
    let at = fleet.callers[0].to_string();
    let job = json!({"name": "j1", "pool": "render", "room": {"cores": 1, "memory": 100}});
    let file = fleet.file("job.json", &job);
    let run = |args: &[&str]| {
        let common = ["--json", "job", "--callers", &at, "--team-key", TEAM_KEY];
        Process::output("cactuswheel", &[&common[..], args].concat())
    };
    let value = |out: &std::process::Output| serde_json::from_slice::<Value>(&out.stdout).unwrap();
    let submitted = run(&["submit", file.to_str().unwrap()]);
    // The team may have no jobs placed: it is accepted and waits.
    assert_eq!(value(&submitted)["phase"], "queued");
    assert_eq!(value(&run(&["show", "j1"]))["job"], "ads/j1");
    let cancelled = run(&["cancel", "j1", "none"]);
    assert_eq!(cancelled.status.code(), Some(3));
    assert_eq!(value(&cancelled)[0]["code"], 0);
    assert_eq!(value(&run(&["show", "j1"]))["phase"], "cancelled");
    let unknown = run(&["show", "none"]);
    assert_eq!(unknown.status.code(), Some(3));
}

#[tokio::test]
async fn wave_commands() {
    let fleet = Fleet::start(1, 1);
    assert_eq!(fleet.apply(0, &fleet.first_ticket(8)).0, Some(0));
    fleet.settle(1).await;
    let (_, text, _) = fleet.cli(0, &["maintenance", "show"]);
    assert_eq!(text, "no wave has begun\n");
    let (code, _, error) = fleet.cli(0, &["maintenance", "pause"]);
    assert_eq!(code, Some(3));
    assert!(error.starts_with("cactuswheel: 605 "), "{error}");
    let (code, started) = ask(&fleet, 0, &["maintenance", "start", "--order", "lj1"]);
    assert_eq!(code, Some(0), "{started}");
    assert_eq!(started["wave"]["number"], 1);
    let (_, text, _) = fleet.cli(0, &["maintenance", "pause"]);
    assert!(text.starts_with("wave 1 paused, begun 20"), "{text}");
    // The only instance of its pool: the budget lets nothing go down.
    assert!(text.contains("0 of 1 instances had their turn"), "{text}");
    let (_, text, _) = fleet.cli(0, &["maintenance", "resume"]);
    assert!(text.starts_with("wave 1 running"), "{text}");
    let (_, reordered) = ask(&fleet, 0, &["maintenance", "reorder", "lj1"]);
    assert_eq!(reordered["wave"]["order"], json!(["lj1"]));
    assert_eq!(fleet.cli(0, &["maintenance", "start"]).0, Some(3));
    assert_eq!(
        ask(&fleet, 0, &["maintenance", "start", "--force"]).1["wave"]["number"],
        2
    );
}
