//! The first minute of a newcomer: what the embedded fleet prints works as printed.

use std::path::Path;
use std::process::{Command, Output};

use cactuswheel_e2e::{Hosts, Process};

/// What the printed lines run the CLI with; a test runs the program that is built already.
const CARGO: &str = "cargo run --release --locked -q --bin cactuswheel --";

/// Runs a printed line in the project's folder.
fn run(line: &str) -> Output {
    let cli = Process::path("cactuswheel");
    let line = line.replace(CARGO, cli.to_str().unwrap());
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut shell = Command::new("sh");
    shell
        .args(["-c", &line])
        .current_dir(root)
        .output()
        .unwrap()
}

fn text(output: &Output) -> String {
    let all = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&all).into_owned()
}

#[test]
fn printed_lines() {
    let host = Hosts::default().host().to_string();
    let args = ["--embedded", "--host", &host];
    let (mut fleet, printed) = Process::start_printing("cactuswheeld", &args, "Ctrl-C");
    let line = |word: &str| {
        let mut commands = printed.iter().filter_map(|l| l.strip_prefix("  "));
        let found = commands.find(|l| l.contains(word));
        found.unwrap_or_else(|| panic!("no command with `{word}` in {printed:?}"))
    };
    let curl = line("curl ");
    let first = text(&run(curl));
    assert!(
        first.contains("200 OK") && first.contains("x-upstream: w1"),
        "{first}"
    );
    assert!(first.contains("\r\n\r\nhello"), "{first}");
    let instances = text(&run(line("instances")));
    assert!(
        instances.contains("w1") && instances.contains("live"),
        "{instances}"
    );
    let moved = run(line("ticket apply"));
    assert_eq!(moved.status.code(), Some(0), "{}", text(&moved));
    let second = text(&run(curl));
    assert!(second.contains("x-upstream: w2"), "{second}");
    fleet.signal("INT");
    assert!(fleet.wait().success());
}

#[test]
fn taken_address() {
    let host = Hosts::default().host().to_string();
    let args = ["--embedded", "--host", &host];
    let (_first, _) = Process::start_printing("cactuswheeld", &args, "Ctrl-C");
    let second = Process::output("cactuswheeld", &args);
    assert_eq!(second.status.code(), Some(1));
    let error = text(&second);
    assert!(error.starts_with("cactuswheeld: cannot listen on ") && error.lines().count() == 1);
    let outside = Process::output("cactuswheeld", &["--embedded", "--host", "192.0.2.1"]);
    assert!(text(&outside).contains("not a loopback address"));
}
