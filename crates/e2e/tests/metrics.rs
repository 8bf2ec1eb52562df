//! Metrics and refusals of a real entry.

use cactuswheel_e2e::{Fleet, OPERATOR_KEY, TEAM_KEY};
use cactuswheel_http::Call;
use serde_json::Value;

/// The value of a metric, by its name and labels as they stand in the text.
fn value(text: &str, name: &str) -> Option<f64> {
    let line = text.lines().find(|l| l.split(' ').next() == Some(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

async fn next(fleet: &Fleet) -> f64 {
    let call = Call::get(fleet.admins[0], "/v1/status").with_key(OPERATOR_KEY);
    let status: Value = call.send().await.unwrap().json().unwrap();
    status["next"].as_f64().unwrap()
}

#[tokio::test]
async fn counts_match() {
    let fleet = Fleet::start(1, 2);
    assert_eq!(fleet.apply(0, &fleet.first_ticket(8)).0, Some(0));
    fleet.settle(1).await;
    let at = fleet.callers[0];
    for _ in 0..3 {
        let call = Call::get(at, "/s/echo/").with_key(TEAM_KEY);
        assert_eq!(call.send().await.unwrap().status, 200);
    }
    let refused = Call::get(at, "/s/echo/").with_key("wrong-key");
    assert_eq!(refused.send().await.unwrap().status, 401);

    let before = next(&fleet).await;
    let answer = Call::get(fleet.admins[0], "/metrics").send().await.unwrap();
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    let wanted = [
        ("cactuswheel_answers_total{code=\"0\"}", 3.0),
        ("cactuswheel_answers_total{code=\"102\"}", 1.0),
        ("cactuswheel_request_seconds_count", 4.0),
        ("cactuswheel_queue_seconds_count", 3.0),
        ("cactuswheel_retries_total", 0.0),
        ("cactuswheel_upstreams", 1.0),
        ("cactuswheel_running", 0.0),
        ("cactuswheel_ready", 1.0),
        ("cactuswheel_log_lag", 0.0),
    ];
    for (name, number) in wanted {
        assert_eq!(value(&text, name), Some(number), "{name} in\n{text}");
    }
    // Entries append records of their own, so the head may move between the two looks.
    let reached = value(&text, "cactuswheel_log_next").unwrap();
    assert!(before >= 2.0 && (before..=next(&fleet).await).contains(&reached));
    let positive = [
        "cactuswheel_connections",
        "cactuswheel_platform_bytes_total{way=\"sent\"}",
        "cactuswheel_platform_bytes_total{way=\"received\"}",
        "process_cpu_seconds_total",
        "process_resident_memory_bytes",
        "cactuswheel_roster_age_seconds",
        "cactuswheel_log_age_seconds",
        "cactuswheel_peer_age_seconds{entry=\"e2\"}",
    ];
    for name in positive {
        assert!(
            value(&text, name).is_some_and(|v| v >= 0.0),
            "{name} in\n{text}"
        );
    }
    assert!(!text.contains(TEAM_KEY) && !text.contains("wrong-key"));
}
