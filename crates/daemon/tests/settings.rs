//! Settings files, good and bad.

use std::fs;
use std::path::PathBuf;

use cactuswheel_daemon::Settings;
use cactuswheel_model::{Digest, Millis};
use cactuswheel_testkit::check;
use serde_json::{Value, json};

fn good() -> Value {
    json!({"entry": "e1", "dc": "lj1", "platform": "127.0.0.1:1",
        "listen": {"callers": "127.0.0.1:2", "admin": "127.0.0.1:3", "peer": "127.0.0.1:4"},
        "operators": [{"name": "ana", "digest": Digest::of(b"k")}]})
}

fn load(name: &str, text: impl AsRef<[u8]>) -> Result<Settings, String> {
    let name = format!("cactuswheel-settings-{}-{name}", std::process::id());
    let path: PathBuf = std::env::temp_dir().join(name);
    fs::write(&path, text).unwrap();
    let loaded = Settings::load(&path).map_err(|e| e.to_string());
    fs::remove_file(&path).unwrap();
    loaded
}

/// Loads good settings with one value changed; the error has to name file, field and values.
fn refused(name: &str, pointer: &str, value: Value, words: &[&str]) {
    let mut settings = good();
    match settings.pointer_mut(pointer) {
        Some(place) => *place = value,
        None => settings[&pointer[1..]] = value,
    }
    let error = load(name, settings.to_string()).unwrap_err();
    for word in words.iter().chain(&["501", name]) {
        assert!(error.contains(word), "`{word}` is not in: {error}");
    }
}

#[test]
fn good_file() {
    let settings = load("good", good().to_string()).unwrap();
    assert_eq!(settings.entry.as_str(), "e1");
    assert_eq!(settings.limits.balancer_ms, Millis::new(500));
}

#[test]
fn unknown_field() {
    let mut settings = good();
    settings["listen"]["extra"] = json!(1);
    let error = load("unknown", settings.to_string()).unwrap_err();
    let words = ["501", "listen.extra", "unknown field `extra`", "`callers`"];
    assert!(words.iter().all(|w| error.contains(w)), "{error}");
}

#[test]
fn host_name() {
    let host = json!("platform.example:1");
    refused(
        "host",
        "/platform",
        host.clone(),
        &["platform:", "platform.example:1", "IP number"],
    );
    refused(
        "peer-host",
        "/peers",
        json!([host]),
        &["peers[0]:", "IP number"],
    );
}

#[test]
fn broken_json() {
    let error = load("broken", "{\"entry\": ").unwrap_err();
    assert!(error.contains("501") && error.contains("line 1"), "{error}");
    let error = load("trailing", format!("{} x", good())).unwrap_err();
    assert!(error.contains("trailing characters"), "{error}");
}

#[test]
fn missing_field() {
    let mut settings = good();
    settings.as_object_mut().unwrap().remove("operators");
    let error = load("missing", settings.to_string()).unwrap_err();
    assert!(error.contains("missing field `operators`"), "{error}");
}

#[test]
fn doubled_address() {
    let same = json!("127.0.0.1:2");
    refused(
        "double",
        "/listen/admin",
        same,
        &["listen.admin: got 127.0.0.1:2", "listen.callers"],
    );
    let own = json!(["127.0.0.1:4"]);
    refused(
        "own-peer",
        "/peers",
        own,
        &["peers[0]: got 127.0.0.1:4", "listen.peer"],
    );
}

#[test]
fn useless_address() {
    refused(
        "port",
        "/listen/callers",
        json!("127.0.0.1:0"),
        &["listen.callers: got", "port"],
    );
    refused(
        "any",
        "/platform",
        json!("0.0.0.0:9"),
        &["platform: got 0.0.0.0:9", "one machine"],
    );
}

#[test]
fn operators_differ() {
    let [a, b] = [b"a", b"b"].map(|k| Digest::of(k));
    refused(
        "none",
        "/operators",
        json!([]),
        &["operators: got none", "at least one"],
    );
    let twice = json!([{"name": "ana", "digest": a}, {"name": "ana", "digest": b}]);
    refused(
        "twice",
        "/operators",
        twice,
        &["operators[1].name: got ana"],
    );
    let shared = json!([{"name": "ana", "digest": a}, {"name": "bor", "digest": a}]);
    refused(
        "shared",
        "/operators",
        shared,
        &["operators[1].digest", "ana's"],
    );
}

#[test]
fn key_kept_out() {
    // An operator pastes the key itself where its digest belongs: the error must not repeat it.
    let mut settings = good();
    settings["operators"][0]["digest"] = json!("my-secret-key");
    let error = load("key", settings.to_string()).unwrap_err();
    assert!(error.contains("operators[0].digest"), "{error}");
    assert!(!error.contains("my-secret-key"), "{error}");
}

#[test]
fn limits_range() {
    let limits = json!({"drain_ms": 1});
    refused(
        "drain",
        "/limits",
        limits,
        &["limits.drain_ms: got 1, takes 1000 to 604800000"],
    );
    refused(
        "unit",
        "/limits",
        json!({"drain_s": 1}),
        &["limits.drain_s", "`drain_ms`"],
    );
}

#[test]
fn maintenance_bounds() {
    let none = json!({"parallel": 0});
    refused(
        "bound",
        "/maintenance",
        none,
        &["maintenance.parallel: got 0, takes at least 1"],
    );
    refused(
        "span",
        "/maintenance",
        json!({"loss": 1}),
        &["maintenance.loss", "`loss_ms`"],
    );
}

#[test]
fn damaged_file() {
    // One byte of a good file is another one: it loads or is refused in one line that names the
    // file, and no panic stops the entry without a word.
    fn damaged(at: usize, byte: u8) -> bool {
        let mut bytes = good().to_string().into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        let name = format!("damaged-{at}-{byte}");
        match load(&name, &bytes) {
            Ok(_) => true,
            Err(e) => e.contains(&name) && e.starts_with("501 ") && e.lines().count() == 1,
        }
    }
    check(20, 300, damaged as fn(usize, u8) -> bool);
}

/// Names of the fields that a section takes, from what it says of an unknown one.
fn fields(section: &str) -> Vec<String> {
    let mut settings = good();
    match section {
        "" => settings["zzz"] = json!(1),
        section => settings[section] = json!({"zzz": 1}),
    }
    let error = load("fields", settings.to_string()).unwrap_err();
    let (_, names) = error.split_once(", expected ").unwrap();
    let names = names.split('`').skip(1).step_by(2);
    names.map(str::to_owned).collect()
}

#[test]
fn reference_whole() {
    // A setting that the page does not name would be found by nobody.
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = fs::read_to_string(path).unwrap();
    for name in fields("") {
        let named = page.contains(&format!("| `{name}`")) || page.contains(&format!("| `{name}."));
        assert!(named, "docs/OPERATIONS.md does not name `{name}`");
    }
    for section in ["listen", "log", "limits", "maintenance", "assignment"] {
        for name in fields(section) {
            let row = format!("| `{section}.{name}` |");
            assert!(page.contains(&row), "docs/OPERATIONS.md has no row {row}");
        }
    }
}
