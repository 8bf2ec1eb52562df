//! Input that nobody should send, to the real programs.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use cactuswheel_e2e::{Fleet, OPERATOR_KEY, Process, TEAM_KEY};
use cactuswheel_http::{Answer, Call};
use cactuswheel_model::{Digest, Holding, Record, Ticket};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Time within which an entry has to be itself again.
const LIMIT: Duration = Duration::from_secs(20);

async fn fleet(limit: u32) -> Fleet {
    let mut fleet = Fleet::start(2, 0);
    fleet.limits = json!({"head_ms": 1000});
    fleet.add_entry();
    let (code, text) = fleet.apply(0, &fleet.first_ticket(limit));
    assert_eq!(code, Some(0), "{text}");
    fleet.settle(2).await;
    fleet
}

async fn get(fleet: &Fleet, path: &str, key: &str) -> Answer {
    let call = Call::get(fleet.callers[0], path).with_key(key);
    call.send().await.unwrap()
}

/// The code of a refusal.
fn code(answer: &Answer) -> Value {
    answer.json::<Value>().unwrap()["code"].clone()
}

/// Sends raw bytes and reads what comes until the entry closes.
async fn raw(addr: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // A reset after the answer is as good an end as any.
    let _ = timeout(LIMIT, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn head(extra: &str) -> String {
    format!(
        "POST /s/echo/x HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {TEAM_KEY}\r\n\
         connection: close\r\n{extra}\r\n"
    )
}

/// Waits until the team's one unit is free again.
async fn served_again(fleet: &Fleet) {
    let until = Instant::now() + LIMIT;
    loop {
        let answer = get(fleet, "/s/echo/", TEAM_KEY).await;
        if answer.status == 200 {
            return;
        }
        assert!(Instant::now() < until, "still {}", answer.status);
        sleep(Duration::from_millis(50)).await;
    }
}

/// Whether an upstream has run a request, or runs it.
async fn has_run(fleet: &Fleet, request: &str) -> bool {
    for addr in &fleet.upstream_addrs {
        let runs = Call::get(*addr, "/runs").send().await.unwrap();
        let runs = runs.json::<Vec<Value>>().unwrap();
        if runs.iter().any(|r| r["request"] == request) {
            return true;
        }
    }
    false
}

fn check_settings(name: &str, text: &str, words: &[&str]) {
    let name = format!("cactuswheel-bad-{}-{name}.json", std::process::id());
    let path = std::env::temp_dir().join(&name);
    fs::write(&path, text).unwrap();
    let args = ["--check", "--settings", path.to_str().unwrap()];
    let output = Process::output("cactuswheeld", &args);
    fs::remove_file(&path).unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{error}");
    assert_eq!(error.lines().count(), 1, "{error}");
    for word in words.iter().chain(&["501", name.as_str()]) {
        assert!(error.contains(word), "`{word}` is not in: {error}");
    }
}

#[test]
fn settings_files() {
    check_settings("broken", "{\"entry\": \"e1\",", &["line 1"]);
    check_settings(
        "unknown",
        r#"{"entry": "e1", "dx": 1}"#,
        &["unknown field `dx`"],
    );
    let host = r#"{"entry": "e1", "dc": "a", "platform": "log.example:9000"}"#;
    check_settings("host", host, &["platform", "log.example:9000", "IP number"]);
}

#[tokio::test]
async fn ticket_files() {
    let fleet = fleet(8).await;
    let refused = |ticket: Value, number: &str| {
        let (status, text) = fleet.apply(0, &ticket);
        assert_eq!(status, Some(3), "{text}");
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(
            text.starts_with(&format!("cactuswheel: {number} ")),
            "{text}"
        );
    };
    let moved = |ticket: u32| json!({"ticket": ticket, "changes": [Fleet::instance(1, "spare")]});
    refused(moved(1), "402");
    assert_eq!(fleet.apply(0, &moved(5)).0, Some(0));
    refused(
        json!({"ticket": 3, "changes": [Fleet::instance(1, "render")]}),
        "403",
    );
    refused(
        json!({"ticket": 6, "changes": [Fleet::instance(1, "none")]}),
        "404",
    );
    let budget = json!({"service": {"id": "echo", "pool": "render", "max_down": 1}});
    refused(json!({"ticket": 7, "changes": [budget]}), "405");
    refused(json!({"ticket": 8, "changes": []}), "401");

    let path = fleet.file("ticket.json", &Value::Null);
    for (text, place) in [
        ("{\"ticket\": 9", "line 1"),
        (
            r#"{"ticket": 9, "changes": [{"pool": {"id": "x", "size": 1}}]}"#,
            "changes[0].pool.size",
        ),
        (
            r#"{"ticket": 9, "changes": [{"pool": {"id": "No Name"}}]}"#,
            "`No Name` is not a name",
        ),
    ] {
        fs::write(&path, text).unwrap();
        let (status, _, error) = fleet.cli(0, &["ticket", "apply", path.to_str().unwrap()]);
        assert_eq!(status, Some(2), "{error}");
        assert!(error.contains("502") && error.contains(place), "{error}");
        // The API itself says the same to those who do without the CLI.
        let length = text.len();
        let request = format!(
            "POST /v1/tickets HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {OPERATOR_KEY}\r\n\
             connection: close\r\ncontent-length: {length}\r\n\r\n{text}"
        );
        let answer = raw(fleet.admins[0], &request).await;
        assert!(
            answer.contains("\"code\":401") && answer.contains(place),
            "{answer}"
        );
    }
    let next = fleet.cli(0, &["ticket", "next"]).1;
    assert_eq!(next.trim(), "9");
}

#[tokio::test]
async fn keys_services() {
    let fleet = fleet(8).await;
    let none = Call::get(fleet.callers[0], "/s/echo/")
        .send()
        .await
        .unwrap();
    assert_eq!((none.status.as_u16(), code(&none)), (401, json!(101)));
    assert_eq!(code(&get(&fleet, "/s/echo/", "wrong").await), 102);
    assert_eq!(code(&get(&fleet, "/s/none/", TEAM_KEY).await), 104);
    assert_eq!(code(&get(&fleet, "/s/No%20Name/", TEAM_KEY).await), 104);
    let key = json!({"key": {"digest": Digest::of(TEAM_KEY.as_bytes()), "team": "ads",
        "withdrawn": true}});
    assert_eq!(
        fleet.apply(0, &json!({"ticket": 2, "changes": [key]})).0,
        Some(0)
    );
    assert_eq!(code(&get(&fleet, "/s/echo/", TEAM_KEY).await), 103);
    let back = json!({"key": {"digest": Digest::of(TEAM_KEY.as_bytes()), "team": "ads"}});
    let (status, text) = fleet.apply(0, &json!({"ticket": 3, "changes": [back]}));
    assert_eq!(status, Some(3), "{text}");
}

#[tokio::test]
async fn operator_keys() {
    let fleet = Fleet::start(0, 1);
    let at = fleet.admins[0];
    for path in [
        "/v1/status",
        "/v1/config",
        "/v1/keys",
        "/v1/tickets",
        "/v1/nothing",
    ] {
        let answer = Call::get(at, path).send().await.unwrap();
        assert_eq!(
            (answer.status.as_u16(), code(&answer)),
            (401, json!(406)),
            "{path}"
        );
        let answer = Call::get(at, path).with_key(TEAM_KEY).send().await.unwrap();
        assert_eq!(code(&answer), 406, "{path}");
    }
    let ticket = Call::post(at, "/v1/tickets")
        .with_json(&fleet.first_ticket(8))
        .unwrap();
    assert_eq!(code(&ticket.send().await.unwrap()), 406);
    let unknown = Call::get(at, "/v1/nothing")
        .with_key(OPERATOR_KEY)
        .send()
        .await
        .unwrap();
    assert_eq!((unknown.status.as_u16(), code(&unknown)), (404, json!(408)));
}

#[tokio::test]
async fn oversized_head() {
    let fleet = fleet(1).await;
    let at = fleet.callers[0];
    let over = raw(at, &head(&format!("x-a: {}\r\n", "a".repeat(40 << 10)))).await;
    assert!(over.starts_with("HTTP/1.1 431 "), "{over}");
    assert!(
        over.contains("x-cactuswheel-code: 107") && over.contains("not-run"),
        "{over}"
    );
    let far_over = raw(at, &head(&format!("x-a: {}\r\n", "a".repeat(200 << 10)))).await;
    assert!(
        far_over.is_empty() || far_over.starts_with("HTTP/1.1 431 "),
        "{far_over}"
    );
    served_again(&fleet).await;
}

#[tokio::test]
async fn oversized_body() {
    let fleet = fleet(1).await;
    let size = (256 << 20) + 1;
    let answer = raw(
        fleet.callers[0],
        &head(&format!("content-length: {size}\r\n")),
    )
    .await;
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert!(
        answer.contains("x-cactuswheel-code: 106") && answer.contains("not-run"),
        "{answer}"
    );
    served_again(&fleet).await;
}

#[tokio::test]
async fn garbage_request() {
    let fleet = fleet(1).await;
    for text in [
        "\0\x01\x02\r\n\r\n",
        "GET\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
    ] {
        let answer = raw(fleet.callers[0], text).await;
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 400 "),
            "{answer}"
        );
    }
    served_again(&fleet).await;
}

#[tokio::test]
async fn half_sent() {
    // One caller stops in the middle of the head, another in the middle of the body and then
    // goes away. Neither may hold the team's only unit, and neither counts as run.
    let fleet = fleet(1).await;
    let stalled = raw(fleet.callers[0], "GET /s/echo/ HTTP/1.1\r\nhost").await;
    assert!(!stalled.contains("200"), "{stalled}");
    let mut stream = TcpStream::connect(fleet.callers[0]).await.unwrap();
    let text = head("content-length: 1000\r\nx-request-id: cut\r\n") + "only this";
    stream.write_all(text.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    drop(stream);
    served_again(&fleet).await;
    assert!(!has_run(&fleet, "cut").await);
}

#[tokio::test]
async fn caller_leaves() {
    // A caller sends a request that runs for three seconds and goes away at once. The upstream
    // runs on, so the team's only unit stays taken until it has ended; then it comes back.
    let fleet = fleet(1).await;
    let mut stream = TcpStream::connect(fleet.callers[0]).await.unwrap();
    let text = head("x-sleep-ms: 3000\r\ncontent-length: 0\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    let until = Instant::now() + LIMIT;
    while running(&fleet).await == 0 {
        assert!(Instant::now() < until, "the long request never ran");
        sleep(Duration::from_millis(20)).await;
    }
    drop(stream);
    let answer = get(&fleet, "/s/echo/", TEAM_KEY).await;
    if running(&fleet).await > 0 {
        assert_eq!(answer.status, 429);
    }
    served_again(&fleet).await;
    assert_eq!(running(&fleet).await, 0);
}

/// Requests that run at the upstreams.
async fn running(fleet: &Fleet) -> u32 {
    let mut sum = 0;
    for addr in &fleet.upstream_addrs {
        let answer = Call::get(*addr, "/running").send().await.unwrap();
        sum += answer.json::<u32>().unwrap();
    }
    sum
}

/// Records that no entry can decode.
const STRANGE: [&str; 4] = [
    "not JSON",
    "{}",
    r#"{"ticket": {"ticket": "x"}}"#,
    r#"{"other": 1}"#,
];

/// The bodies of all records of the fleet's stream.
async fn records(fleet: &Fleet) -> Vec<String> {
    let call = Call::get(fleet.platform_addr, "/log/fleet?from=0&max=1000");
    let batch = call.send().await.unwrap().json::<Value>().unwrap();
    let entries = batch["entries"].as_array().unwrap().iter().enumerate();
    let body = |(offset, entry): (usize, &Value)| {
        assert_eq!(entry["offset"], offset, "{batch}");
        entry["body"].as_str().unwrap().to_owned()
    };
    entries.map(body).collect()
}

/// Whether a record is this ticket, put in by `ana`.
fn is_ticket(body: &str, ticket: &Value) -> bool {
    let wanted: Ticket = serde_json::from_value(ticket.clone()).unwrap();
    let Ok(Record::Ticket(found)) = serde_json::from_str(body) else {
        return false;
    };
    let author = found.author.is_some_and(|a| a.as_str() == "ana");
    author && (found.ticket, found.changes) == (wanted.ticket, wanted.changes)
}

/// Whether a record is the join of the fleet's only entry.
fn is_join(body: &str) -> bool {
    let Ok(Record::Holding(Holding::Join { life, dc, .. })) = serde_json::from_str(body) else {
        return false;
    };
    (life.entry.as_str(), dc.as_str()) == ("e1", "lj1")
}

/// Writes strange records, puts the next ticket in and checks its offset; returns how many joins
/// stand before it.
///
/// An entry joins on its own, shortly after its start, so its join may stand before or after the
/// ticket. Nothing else but the first ticket and the strange records may stand before it.
async fn pass_over(fleet: &Fleet) -> usize {
    let call = Call::post(fleet.platform_addr, "/log/fleet")
        .with_json(&STRANGE)
        .unwrap();
    assert_eq!(call.send().await.unwrap().status, 200);
    let moved = json!({"ticket": 2, "changes": [Fleet::instance(1, "spare")]});
    let (status, text) = fleet.apply(0, &moved);
    assert_eq!(status, Some(0), "{text}");

    let records = records(fleet).await;
    let places: Vec<_> = (0..records.len())
        .filter(|&at| is_ticket(&records[at], &moved))
        .collect();
    let [place] = places[..] else {
        panic!("ticket 2 stands at {places:?}: {records:#?}");
    };
    assert_eq!(text, format!("ticket 2 in force at offset {place}\n"));
    let before = records[..place].iter().map(String::as_str);
    let (joins, others): (Vec<_>, Vec<_>) = before.partition(|body| is_join(body));
    assert!(joins.len() <= 1, "{records:#?}");
    let [first, strange @ ..] = &others[..] else {
        panic!("no first ticket: {records:#?}");
    };
    assert!(is_ticket(first, &fleet.first_ticket(8)), "{records:#?}");
    assert_eq!(strange, STRANGE, "{records:#?}");

    let call = Call::get(fleet.admins[0], "/v1/status").with_key(OPERATOR_KEY);
    let status = call.send().await.unwrap().json::<Value>().unwrap();
    assert_eq!(status["undecodable"], STRANGE.len(), "{status}");
    assert_eq!(get(fleet, "/s/echo/", TEAM_KEY).await.status, 200);
    joins.len()
}

#[tokio::test]
async fn strange_records() {
    // Something else writes into the fleet's stream. Every entry passes over it alike and goes
    // on: the next ticket holds, under its own offset.
    let fleet = fleet(8).await;
    pass_over(&fleet).await;
}

#[tokio::test]
async fn strange_after_join() {
    // Failure: a ticket's offset leaves out a record that the entry itself wrote before it.
    let fleet = fleet(8).await;
    let admin = fleet.admins[0];
    fleet.wait_status(admin, |s| s["open"] == true).await;
    assert_eq!(pass_over(&fleet).await, 1);
}
