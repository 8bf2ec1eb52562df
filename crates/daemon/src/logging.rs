//! Structured log lines on standard error.

use std::io::{Write, stderr};
use std::sync::{Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use cactuswheel_model::Time;
use cactuswheel_node::record_fields;
use log::{LevelFilter, Record};

use crate::StartError;
use crate::repeats::Repeats;

/// Sends log lines to standard error as one JSON object each.
pub fn init_log(level: LevelFilter) -> Result<(), StartError> {
    let repeats = Mutex::new(Repeats::default());
    let start = Instant::now();
    fern::Dispatch::new()
        .level(level.min(LevelFilter::Warn))
        .level_for("cactuswheel_daemon", level)
        // It calls every late beat an error; our own lines tell which peer is silent.
        .level_for("tarpc", LevelFilter::Off)
        .chain(fern::Output::call(move |record| {
            write(record, start, &repeats)
        }))
        .apply()?;
    Ok(())
}

fn write(record: &Record<'_>, start: Instant, repeats: &Mutex<Repeats>) {
    // Counted on a clock that nobody sets back: no line is left out for longer than it should.
    let now = Time::default().after(start.elapsed());
    let Some(repeated) = allowed(record, now, repeats) else {
        return;
    };
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let at = since.unwrap_or_default().as_millis() as u64;
    // With standard error gone there is nobody left to tell.
    let _ = writeln!(stderr(), "{}", line(record, at, repeated));
}

/// Whether a line is written, and how many like it were left out.
///
/// A line with fields is about one request or another single event, and has bounds of its own.
fn allowed(record: &Record<'_>, now: Time, repeats: &Mutex<Repeats>) -> Option<u64> {
    if record.key_values().count() > 0 {
        return Some(0);
    }
    let mut repeats = repeats.lock().unwrap_or_else(PoisonError::into_inner);
    repeats.allow(record.target(), &record.args().to_string(), now)
}

/// One line, `at` milliseconds after 1970; the record's own fields follow the common ones.
pub fn line(record: &Record<'_>, at: u64, repeated: u64) -> String {
    let mut fields = record_fields(record, at);
    fields.insert("from".into(), record.target().into());
    if repeated > 0 {
        fields.insert("repeated".into(), repeated.into());
    }
    serde_json::Value::Object(fields).to_string()
}
