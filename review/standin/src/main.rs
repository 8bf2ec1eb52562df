//! Stand-ins and scripts of the review's cases: `review-standin CASE RECORD FOLDER`.
//!
//! The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
//! `TROUBLE=0` leaves the disruption out.

mod crashes;
mod fleet;
mod http;
mod large_state;
mod lost;
mod node;
mod poison;
mod record;
mod store;
mod traffic;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::time::Duration;

use record::Record;

/// A case is given up after this time, so that it ends within the 120 s allowed.
const LIMIT: Duration = Duration::from_secs(115);

/// Result of a case.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CannotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, path, folder] = args.as_slice() else {
        eprintln!("usage: review-standin CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(path) else {
        eprintln!("cannot write {path}");
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.say(format!("case {case}, with the disruption: {trouble}"));
    let run: fn(Arc<Record>, PathBuf, bool) -> Verdict = match case.as_str() {
        "large-state" => large_state::run,
        "poison" => poison::run,
        "crashes" => crashes::run,
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(2);
        }
    };
    let (done, verdict) = channel();
    let (shared, folder) = (record.clone(), PathBuf::from(folder));
    std::thread::spawn(move || done.send(run(shared, folder, trouble)));
    let verdict = match verdict.recv_timeout(LIMIT) {
        Ok(verdict) => verdict,
        Err(RecvTimeoutError::Timeout) => {
            record.say("the case took too long");
            Verdict::CannotRun
        }
        Err(RecvTimeoutError::Disconnected) => {
            record.say("the script failed");
            Verdict::CannotRun
        }
    };
    node::kill_all();
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::CannotRun => ("the case could not run", 2),
    };
    record.say(text);
    ExitCode::from(code)
}
