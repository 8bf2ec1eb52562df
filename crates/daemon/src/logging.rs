//! Structured log lines on standard error.

use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::Map;

use crate::StartError;

/// Sends log lines to standard error as one JSON object each.
pub fn init_log(level: LevelFilter) -> Result<(), StartError> {
    fern::Dispatch::new()
        .level(level.min(LevelFilter::Warn))
        .level_for("cactuswheel_daemon", level)
        // It calls every late beat an error; our own lines tell which peer is silent.
        .level_for("tarpc", LevelFilter::Off)
        .format(|out, _, record| {
            let now = SystemTime::now().duration_since(UNIX_EPOCH);
            let at = now.unwrap_or_default().as_millis() as u64;
            out.finish(format_args!("{}", line(record, at)));
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

/// One line, `at` milliseconds after 1970; the record's own fields follow the common ones.
pub fn line(record: &Record<'_>, at: u64) -> String {
    let mut fields = Fields(Map::new());
    let common = [
        ("at", at.into()),
        ("level", record.level().as_str().into()),
        ("from", record.target().into()),
        ("message", record.args().to_string().into()),
    ];
    // A field that cannot be shown is left out; the line itself still helps.
    let _ = record.key_values().visit(&mut fields);
    for (name, value) in common {
        fields.0.insert(name.into(), value);
    }
    serde_json::Value::Object(fields.0).to_string()
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
