//! Settings files, good and bad.

use std::fs;
use std::path::PathBuf;

use cactuswheel_daemon::Settings;
use serde_json::{Value, json};

fn good() -> Value {
    json!({"entry": "e1", "dc": "lj1", "platform": "127.0.0.1:1",
        "listen": {"callers": "127.0.0.1:2", "admin": "127.0.0.1:3", "peer": "127.0.0.1:4"}})
}

fn load(name: &str, text: &str) -> Result<Settings, String> {
    let name = format!("cactuswheel-settings-{}-{name}", std::process::id());
    let path: PathBuf = std::env::temp_dir().join(name);
    fs::write(&path, text).unwrap();
    let loaded = Settings::load(&path).map_err(|e| e.to_string());
    fs::remove_file(&path).unwrap();
    loaded
}

#[test]
fn good_file() {
    assert_eq!(
        load("good", &good().to_string()).unwrap().entry.as_str(),
        "e1"
    );
}

#[test]
fn unknown_field() {
    let mut settings = good();
    settings["listen"]["extra"] = json!(1);
    let error = load("unknown", &settings.to_string()).unwrap_err();
    assert!(error.contains("extra") && error.contains("501"), "{error}");
}

#[test]
fn host_name() {
    let mut settings = good();
    settings["platform"] = json!("platform.example:1");
    assert!(load("host", &settings.to_string()).is_err());
}

#[test]
fn broken_json() {
    assert!(load("broken", "{").unwrap_err().contains("501"));
}
