//! The settings file of a node: defaults and validation.

use std::path::PathBuf;

use cactuswheel_node::Settings;
use serde_json::{Value, json};

/// Settings with the mandatory fields only.
fn minimal() -> Value {
    json!({
        "node": "n1", "zone": "a",
        "listen": {
            "callers": "127.0.0.1:1", "ready": "127.0.0.1:2",
            "peers": "127.0.0.1:3", "metrics": "127.0.0.1:4",
        },
        "store": "127.0.0.1:5",
        "times": {
            "revoke_ms": 5000, "lease_ms": 6000, "kept_s": 120, "grace_s": 6,
            "maintain_s": 2, "order_ms": 3000, "pace_ms": 100,
        },
    })
}

fn load(name: &str, settings: &Value) -> Result<Settings, String> {
    let file = format!("cactuswheel-settings-{}-{name}.json", std::process::id());
    let path: PathBuf = std::env::temp_dir().join(file);
    std::fs::write(&path, settings.to_string()).expect("cannot write the file");
    let loaded = Settings::load(&path).map_err(|e| e.to_string());
    std::fs::remove_file(&path).expect("cannot remove the file");
    loaded
}

#[test]
fn left_out() {
    let settings = load("least", &minimal()).expect("valid settings");
    assert_eq!(settings.parts, 1);
    assert_eq!(settings.cores, 1.0);
    assert_eq!(settings.link.to_string(), "1000 Mbit/s");
    assert_eq!(settings.memory, 1_024);
    assert_eq!(settings.share.window.get(), 5_000);
    assert_eq!((settings.share.burst, settings.share.slack), (0.1, 20));
}

/// An invalid value is rejected with the error number and the path of the field.
#[test]
fn out_of_range() {
    let cases = [
        ("parts", json!(0), "`parts` has to be from 1 to 64"),
        ("parts", json!(65), "`parts` has to be from 1 to 64"),
        ("parts", json!(-1), "at `parts`"),
        ("cores", json!(0.0), "`cores` has to be positive"),
        ("memory_mb", json!(0), "`memory_mb` has to be positive"),
        (
            "least_memory_mb",
            json!(0),
            "`least_memory_mb` has to be positive",
        ),
        ("link_mbps", json!(0), "at `link_mbps`"),
        ("link_mbps", json!("fast"), "at `link_mbps`"),
        (
            "share",
            json!({ "window_s": 0 }),
            "`share.window_s` has to be positive",
        ),
        (
            "share",
            json!({ "burst": -0.1 }),
            "`share.burst` has to be 0 or more",
        ),
        ("share", json!({ "slack": "many" }), "at `share.slack`"),
        (
            "policies",
            json!({ "pools": { "gaps": 0 } }),
            "`policies.pools.gaps` has to be from 0.1 to 100",
        ),
        (
            "policies",
            json!({ "pools": { "doubt": -1 } }),
            "`policies.pools.doubt` has to be from 0 to 100",
        ),
        (
            "policies",
            json!({ "pools": { "leaving": 1.5 } }),
            "`policies.pools.leaving` has to be from 0 to 1",
        ),
        (
            "policies",
            json!({ "pools": { "arrival_ms": 60_001 } }),
            "`policies.pools.arrival_ms` has to be a minute at most",
        ),
        (
            "policies",
            json!({ "pools": { "hold_ms": -5 } }),
            "at `policies.pools.hold_ms`",
        ),
        (
            "policies",
            json!({ "work": { "preempt": { "lost_percent_per_s": 101 } } }),
            "`policies.work.preempt.lost_percent_per_s` has to be from 0 to 100",
        ),
        (
            "policies",
            json!({ "work": { "preempt": { "interval_ms": 60_001 } } }),
            "`policies.work.preempt.interval_ms` has to be a minute at most",
        ),
        (
            "policies",
            json!({ "work": { "preempt": { "workers": 1_001 } } }),
            "`policies.work.preempt.workers` has to be at most 1000",
        ),
        (
            "policies",
            json!({ "hold": { "settle_ms": 60_001 } }),
            "`policies.hold.settle_ms` has to be a minute at most",
        ),
        (
            "policies",
            json!({ "hold": { "target": "high" } }),
            "at `policies.hold.target`",
        ),
        (
            "policies",
            json!({ "work": { "pack": "yes" } }),
            "at `policies.work.pack`",
        ),
        (
            "policies",
            json!({ "work": { "packs": true } }),
            "unknown field `packs`",
        ),
    ];
    for (number, (field, value, expected)) in cases.into_iter().enumerate() {
        let mut settings = minimal();
        settings[field] = value;
        let error = load(&format!("bad{number}"), &settings).expect_err(expected);
        assert!(error.starts_with("error 501"), "{error}");
        assert!(error.contains(expected), "{error}");
    }
}

/// Setting one parameter of a policy leaves the others at their defaults.
#[test]
fn one_figure() {
    let mut settings = minimal();
    settings["policies"] = json!({ "pools": { "gaps": 1.5 }, "work": { "home": false } });
    let settings = load("figure", &settings).expect("valid settings");
    let policies = settings.policies;
    assert_eq!(policies.pools.headroom, 1.5);
    assert_eq!(policies.pools.hold_time.get(), 1_000);
    assert!(!policies.work.home && policies.work.pack);
}

/// The strength of a node is limited by both its CPU and its link.
#[test]
fn strength() {
    let strength = |cores: f64, link: f64| {
        let mut settings = minimal();
        settings["cores"] = json!(cores);
        settings["link_mbps"] = json!(link);
        let settings = load(&format!("strength{cores}-{link}"), &settings);
        settings.expect("valid settings").strength()
    };
    assert_eq!(strength(0.5, 200.0), 0.5);
    assert!(strength(0.5, 2.0) < strength(0.12, 20.0));
}
