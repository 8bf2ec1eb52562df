//! Stand-ins and cases of the second review.

mod cloud;
mod explore;
mod http;
mod ledger;
mod node;
mod outage;
mod paused;
mod pending;
mod reborn;
mod sick;
mod spent;
mod worker;

use std::path::{Path, PathBuf};
use std::time::Duration;

use ledger::Ledger;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

/// The case could not run.
const NOT_RUN: i32 = 2;

/// Longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let code = match args.get(1).map(String::as_str) {
        Some("explore") => runtime.block_on(explore(&args)),
        Some(case) => runtime.block_on(play(case, &args)),
        None => NOT_RUN,
    };
    std::process::exit(code);
}

/// `explore SEED [calm]`: a drawn history.
async fn explore(args: &[String]) -> i32 {
    let seed: u64 = args[2].parse().expect("a seed");
    let folder = folder();
    let trouble = args.get(3).is_none();
    let faults = explore::explore(seed, program(), &folder, trouble).await;
    for fault in &faults {
        println!("seed {seed}: {fault}");
    }
    println!("{}", folder.display());
    i32::from(!faults.is_empty())
}

/// `CASE RECORD`: a case of the review; `TROUBLE=0` leaves the disruption out.
async fn play(case: &str, args: &[String]) -> i32 {
    let Some(record) = args.get(2) else {
        return NOT_RUN;
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|t| t == "0");
    let trouble = !trouble;
    let (folder, ledger) = (folder(), Ledger::new());
    let played = async {
        match case {
            "paused" => paused::play(program(), &folder, &ledger, trouble).await,
            "outage" => outage::play(program(), &folder, &ledger, trouble).await,
            "reborn" => reborn::play(program(), &folder, &ledger, trouble).await,
            "sick" => sick::play(program(), &folder, &ledger, trouble).await,
            "spent" => spent::play(program(), &folder, &ledger, trouble).await,
            "pending" => pending::play(program(), &folder, &ledger, trouble).await,
            _ => None,
        }
    };
    // Each way out of here ends all nodes, since it drops them.
    let broken = tokio::select! {
        played = timeout(LIMIT, played) => played.unwrap_or(None),
        () = stopped() => None,
    };
    let mut text = ledger.books().lines.join("\n");
    text.push('\n');
    let code = match broken {
        None => NOT_RUN,
        Some(broken) => i32::from(broken),
    };
    text.push_str(&format!("exit {code}\n"));
    if std::fs::write(Path::new(record), text).is_err() {
        return NOT_RUN;
    }
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("{}", folder.display());
    }
    code
}

/// Returns when this process is told to stop.
async fn stopped() {
    let (term, interrupt) = (SignalKind::terminate(), SignalKind::interrupt());
    let (Ok(mut term), Ok(mut interrupt)) = (signal(term), signal(interrupt)) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn program() -> PathBuf {
    PathBuf::from("target/release/cactuswheeld")
}

fn folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}
