//! Log lines.

use cactuswheel_daemon::{LineLimit, Repeats, line};
use cactuswheel_model::Time;
use log::{Level, Record};
use serde_json::{Value, json};

#[test]
fn structured_line() {
    let fields = [("code", 102_u64)];
    let text = line(
        &Record::builder()
            .level(Level::Info)
            .target("t")
            .args(format_args!("a \"quoted\" line\nand more"))
            .key_values(&fields)
            .build(),
        7,
        0,
    );
    assert_eq!(text.lines().count(), 1);
    let wanted = json!({"at": 7, "level": "INFO", "from": "t", "code": 102,
        "message": "a \"quoted\" line\nand more"});
    assert_eq!(serde_json::from_str::<Value>(&text).unwrap(), wanted);
}

#[test]
fn common_fields_win() {
    let fields = [("message", "forged")];
    let record = Record::builder()
        .args(format_args!("true"))
        .key_values(&fields)
        .build();
    let value: Value = serde_json::from_str(&line(&record, 0, 3)).unwrap();
    assert_eq!(value["message"], "true");
    assert_eq!(value["repeated"], 3);
}

#[test]
fn refusals_bounded() {
    // A caller with a wrong key sends 1,000 requests within a second: ten lines are written,
    // and the next second's first line tells how many were left out.
    let limit = LineLimit::default();
    let written = (0..1_000).filter(|_| limit.allow(5).is_some()).count();
    assert_eq!(written, 10);
    assert_eq!(limit.allow(6), Some(990));
    assert_eq!(limit.allow(6), Some(0));
}

#[test]
fn outage_quiet() {
    // The platform is down for ten minutes and its follower warns four times a second: a line a
    // minute is left, and it tells of the others. A new trouble shows at once.
    let mut repeats = Repeats::default();
    let times = (0..600_000).step_by(250).map(Time::new);
    let written: Vec<_> = times
        .filter_map(|now| repeats.allow("follower", "no answer", now))
        .collect();
    assert_eq!(written.len(), 10);
    assert_eq!(written[1], 239);
    let now = Time::new(600_000);
    assert!(repeats.allow("follower", "other trouble", now).is_some());
    assert!(repeats.allow("roster", "no answer", now).is_some());
}
