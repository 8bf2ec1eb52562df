//! Structured log lines on standard output, one JSON object each.

use std::io::{Write, stdout};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::Map;
use tokio::time::{sleep, timeout};

use crate::NodeError;

/// Maximum number of lines waiting to be written. Further lines are dropped and counted, so that a
/// slow reader of the log cannot delay requests.
const MAX_QUEUED: usize = 2_048;

/// Size from which a write takes no further lines, in bytes: readers of pipes split long writes.
const MAX_WRITE_BYTES: usize = 4 << 10;

/// Number of lines dropped since the last line that was queued.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of lines that are queued or being written.
static PENDING: AtomicU64 = AtomicU64::new(0);

/// How often a flush checks for pending lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);

/// Installs the logger, which writes to standard output.
pub fn init_log() -> Result<(), NodeError> {
    let (queue, lines) = sync_channel::<String>(MAX_QUEUED);
    thread::spawn(move || {
        while let Ok(first) = lines.recv() {
            let (mut text, mut count) = (first, 1);
            while text.len() < MAX_WRITE_BYTES
                && let Ok(next) = lines.try_recv()
            {
                text.push_str(&next);
                count += 1;
            }
            // If standard output is closed, there is no other place to report the error.
            let _ = stdout().write_all(text.as_bytes());
            PENDING.fetch_sub(count, Ordering::Release);
        }
    });
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("cactuswheel_node", LevelFilter::Info)
        .level_for("cactuswheel_capacity", LevelFilter::Info)
        .level_for("cactuswheel_cell", LevelFilter::Info)
        .level_for("cactuswheel_relay", LevelFilter::Info)
        // tarpc logs every late answer as an error; this crate logs which node does not answer.
        .level_for("tarpc", LevelFilter::Off)
        .chain(fern::Output::call(move |record| push(&queue, record)))
        .apply()?;
    Ok(())
}

/// Waits until all lines are written, at most for `limit`: a process that exits earlier loses its
/// last lines.
pub(crate) async fn flush_log(limit: Duration) {
    let written = async {
        while PENDING.load(Ordering::Acquire) > 0 {
            sleep(FLUSH_INTERVAL).await;
        }
    };
    // The lines that are left are lost with the process.
    let _ = timeout(limit, written).await;
}

fn push(queue: &SyncSender<String>, record: &Record<'_>) {
    let dropped = DROPPED.swap(0, Ordering::Relaxed);
    PENDING.fetch_add(1, Ordering::Relaxed);
    if queue.try_send(line(record, dropped)).is_err() {
        PENDING.fetch_sub(1, Ordering::Relaxed);
        DROPPED.fetch_add(dropped + 1, Ordering::Relaxed);
    }
}

fn line(record: &Record<'_>, dropped: u64) -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let mut fields = record_fields(record, since.unwrap_or_default().as_millis() as u64);
    if dropped > 0 {
        fields.insert("dropped".into(), dropped.into());
    }
    let mut line = serde_json::Value::Object(fields).to_string();
    line.push('\n');
    line
}

/// Fields of a log line: the record's own fields, then its time `at` in milliseconds since 1970,
/// its level and its message, which replace fields of the same names.
pub fn record_fields(record: &Record<'_>, at: u64) -> Map<String, serde_json::Value> {
    let mut fields = Fields(Map::new());
    // Fields that cannot be formatted are left out.
    let _ = record.key_values().visit(&mut fields);
    let Fields(mut fields) = fields;
    fields.insert("at".into(), at.into());
    fields.insert("level".into(), record.level().as_str().into());
    fields.insert("message".into(), record.args().to_string().into());
    fields
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
