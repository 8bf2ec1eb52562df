//! Tests of command-line parsing.

use cactuswheel_cli::{Command, TicketCommand, options};

#[test]
fn parser_holds() {
    options().check_invariants(false);
}

#[test]
fn ticket_apply() {
    let args: &[&str] = &[
        "--entry",
        "127.0.0.1:1",
        "--key",
        "k",
        "ticket",
        "apply",
        "t.json",
    ];
    let parsed = options().run_inner(args).unwrap();
    let Command::Ticket(TicketCommand::Apply { file, wait }) = parsed.command else {
        panic!()
    };
    assert_eq!(file.to_str(), Some("t.json"));
    assert!(!wait.wait && wait.entries.is_empty());
}

#[test]
fn host_name() {
    let args: &[&str] = &["--entry", "localhost:1", "--key", "k", "status"];
    assert!(options().run_inner(args).is_err());
}

#[test]
fn wait_entries() {
    let args: &[&str] = &[
        "ticket",
        "apply",
        "--wait",
        "--entries",
        "10.0.0.1:1,10.0.0.2:1",
        "t.json",
    ];
    let parsed = options().run_inner(args).unwrap();
    let Command::Ticket(TicketCommand::Apply { wait, .. }) = parsed.command else {
        panic!()
    };
    assert!(wait.wait);
    assert_eq!(wait.entries.len(), 2);
    assert!(
        options()
            .run_inner(&["status", "--entries", "a:1"])
            .is_err()
    );
}

#[test]
fn fleet_commands() {
    let digest = "0".repeat(64);
    let lines: [&[&str]; 5] = [
        &["plan", "show"],
        &["plan", "apply"],
        &["allotments"],
        &["keys", "deny", &digest],
        &["maintenance", "start", "--force", "--order", "lj1,lj2"],
    ];
    for args in lines {
        assert!(options().run_inner(args).is_ok(), "{args:?}");
    }
    assert!(options().run_inner(&["key", "deny", "my-key"]).is_err());
}
