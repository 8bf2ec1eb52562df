//! Structured log lines on standard error.

use std::io::{Write, stderr};
use std::sync::{Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use cactuswheel_model::Time;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::Map;

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
    let mut fields = Fields(Map::new());
    // A field that cannot be shown is left out; the line itself still helps.
    let _ = record.key_values().visit(&mut fields);
    let Fields(mut fields) = fields;
    if repeated > 0 {
        fields.insert("repeated".into(), repeated.into());
    }
    let common = [
        ("at", at.into()),
        ("level", record.level().as_str().into()),
        ("from", record.target().into()),
        ("message", record.args().to_string().into()),
    ];
    for (name, value) in common {
        fields.insert(name.into(), value);
    }
    serde_json::Value::Object(fields).to_string()
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match value.to_u64() {
            Some(n) => n.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
