//! Keys stay out of everything that is kept or shown.

use std::fs::{self, File};
use std::net::SocketAddr;

use cactuswheel_e2e::{Fleet, OPERATOR_KEY, Process, TEAM_KEY};
use cactuswheel_http::Call;
use cactuswheel_model::Digest;
use serde_json::{Value, json};

const WRONG: &str = "wrong-key-of-somebody";

/// Starts an entry that logs all it can into a file.
fn start_entry(fleet: &mut Fleet, log: File) -> (Process, [SocketAddr; 2]) {
    let host = fleet.hosts.host();
    let [callers, admin, peer] = [8080, 8081, 8082].map(|port| SocketAddr::new(host, port));
    let operator = json!({"name": "ana", "digest": Digest::of(OPERATOR_KEY.as_bytes())});
    let settings = json!({"entry": "e1", "dc": "lj1", "platform": fleet.platform_addr,
        "listen": {"callers": callers, "admin": admin, "peer": peer},
        "operators": [operator], "log": {"level": "TRACE"}});
    let file = fleet.file("e1.json", &settings);
    let args = ["--settings", file.to_str().unwrap()];
    let process = Process::start_logged("cactuswheeld", &args, log.into());
    (process, [callers, admin])
}

async fn read(at: SocketAddr, path: &str, key: &str) -> String {
    let answer = Call::get(at, path).with_key(key).send().await.unwrap();
    String::from_utf8_lossy(&answer.body).into_owned()
}

#[tokio::test]
async fn keys_hidden() {
    // Good, wrong and new keys go through an entry at its chattiest. Whoever reads its log, its
    // views, its metrics or the platform's log must find none of them.
    let mut fleet = Fleet::start(1, 0);
    let log = fleet.file("entry.log", &Value::Null);
    let (_entry, [callers, admin]) = start_entry(&mut fleet, File::create(&log).unwrap());
    fleet.admins.push(admin);
    assert_eq!(fleet.apply(0, &fleet.first_ticket(8)).0, Some(0));
    fleet.settle(1).await;
    let (code, out, _) = fleet.cli(0, &["--json", "key", "grant", "ads"]);
    assert_eq!(code, Some(0));
    let granted: Value = serde_json::from_str(&out).unwrap();
    let granted = granted["key"].as_str().unwrap();
    for key in [TEAM_KEY, granted, WRONG] {
        read(callers, "/s/echo/", key).await;
        read(callers, "/s/none/", key).await;
        read(admin, "/v1/status", key).await;
    }

    let mut shown = fs::read_to_string(&log).unwrap();
    assert!(shown.contains("refused: 102"), "{shown}");
    assert!(shown.contains("\"team\":\"ads\""), "{shown}");
    for path in [
        "/v1/config",
        "/v1/keys",
        "/v1/audit",
        "/v1/tickets",
        "/metrics",
    ] {
        shown += &read(admin, path, OPERATOR_KEY).await;
    }
    shown += &read(fleet.platform_addr, "/log/fleet?from=0&max=1000", "").await;
    assert!(shown.contains(&Digest::of(granted.as_bytes()).to_string()));
    for key in [TEAM_KEY, OPERATOR_KEY, WRONG, granted] {
        assert!(!shown.contains(key), "{key} is shown");
    }
}

#[test]
fn help_hidden() {
    // An operator shows a colleague the help while the keys stand in the environment.
    let keys = [
        ("CACTUSWHEEL_KEY", "s3cret-1"),
        ("CACTUSWHEEL_TEAM_KEY", "s3cret-2"),
    ];
    for args in [&["--help"][..], &["job", "--help"], &["nonsense"]] {
        let mut command = std::process::Command::new(Process::path("cactuswheel"));
        let output = command.envs(keys).args(args).output().unwrap();
        let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
        assert!(!text.contains("s3cret"), "{text}");
    }
}
