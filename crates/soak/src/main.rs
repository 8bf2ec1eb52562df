//! Runs the soak from the command line, one run for each seed:
//! `soak FIRST_SEED COUNT SECONDS [NODES] [rolling]`. With `rolling`, planned stops are the only
//! fault.

use std::process::ExitCode;
use std::time::Duration;

use cactuswheel_soak::{Report, rolling, soak};
use tokio::runtime::Runtime;

fn main() -> ExitCode {
    let (numbers, words): (Vec<_>, Vec<_>) = std::env::args()
        .skip(1)
        .partition(|a| a.parse::<u64>().is_ok());
    let numbers: Vec<u64> = numbers.iter().filter_map(|a| a.parse().ok()).collect();
    let is_rolling = words.iter().any(|w| w == "rolling");
    let [first, count, seconds, rest @ ..] = &numbers[..] else {
        eprintln!("usage: soak FIRST_SEED COUNT SECONDS [NODES] [rolling]");
        return ExitCode::FAILURE;
    };
    let nodes = rest.first().copied().unwrap_or(3) as usize;
    let time = Duration::from_secs(*seconds);
    let runtime = Runtime::new().expect("threads can be started");
    let mut failed = 0;
    for seed in *first..first + count {
        let report = match is_rolling {
            true => runtime.block_on(rolling(seed, nodes, time)),
            false => runtime.block_on(soak(seed, nodes, time)),
        };
        print_report(seed, &report);
        failed += u64::from(!report.violations.is_empty());
    }
    println!("{} passed, {failed} failed", count - failed);
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Prints the figures of a run, and its first violations and its faults if it did not pass.
fn print_report(seed: u64, report: &Report) {
    let trail = &report.trail;
    println!(
        "seed {seed}: {} jobs, {} faults, {} stops, {} broken; on open connections {} requests, \
         {} cut, longest {} ms, not served {:?}",
        report.jobs,
        report.faults.len(),
        report.stops,
        report.violations.len(),
        trail.requests,
        trail.cuts(),
        trail.longest.as_millis(),
        trail.refusals,
    );
    if report.violations.is_empty() {
        return;
    }
    for line in report.violations.iter().take(8).chain(&report.faults) {
        println!("  {line}");
    }
    let log = std::env::temp_dir().join(format!("soak-{seed}.log"));
    let lines = report.violations.iter().chain(&report.faults);
    let lines: Vec<&str> = lines.chain(&report.logs).map(String::as_str).collect();
    match std::fs::write(&log, lines.join("\n")) {
        Ok(()) => println!("  logs: {}", log.display()),
        Err(e) => println!("  logs cannot be written: {e}"),
    }
}
