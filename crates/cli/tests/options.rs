//! The command line's shape.

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
    let Command::Ticket(TicketCommand::Apply { file }) = parsed.command else {
        panic!()
    };
    assert_eq!(file.to_str(), Some("t.json"));
}

#[test]
fn host_name() {
    let args: &[&str] = &["--entry", "localhost:1", "--key", "k", "status"];
    assert!(options().run_inner(args).is_err());
}
