//! Runs the soak from the command line, one run for each seed:
//! `soak FIRST_SEED COUNT SECONDS [NODES]`.

use std::process::ExitCode;
use std::time::Duration;

use cactuswheel_soak::soak;
use tokio::runtime::Runtime;

fn main() -> ExitCode {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let [first, count, seconds, rest @ ..] = &numbers[..] else {
        eprintln!("usage: soak FIRST_SEED COUNT SECONDS [NODES]");
        return ExitCode::FAILURE;
    };
    let nodes = rest.first().copied().unwrap_or(3) as usize;
    let runtime = Runtime::new().expect("threads can be started");
    let mut failed = 0;
    for seed in *first..first + count {
        let report = runtime.block_on(soak(seed, nodes, Duration::from_secs(*seconds)));
        let violations = report.violations.len();
        println!(
            "seed {seed}: {} jobs, {} faults, {violations} broken",
            report.jobs,
            report.faults.len()
        );
        if violations == 0 {
            continue;
        }
        failed += 1;
        for line in report.violations.iter().take(8).chain(&report.faults) {
            println!("  {line}");
        }
        let log = std::env::temp_dir().join(format!("soak-{seed}.log"));
        match std::fs::write(&log, report.logs.join("\n")) {
            Ok(()) => println!("  logs: {}", log.display()),
            Err(e) => println!("  logs cannot be written: {e}"),
        }
    }
    println!("{} passed, {failed} failed", count - failed);
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
