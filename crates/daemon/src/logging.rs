//! Structured log lines on standard error.

use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;

use crate::StartError;

/// Sends log lines to standard error as one JSON object each.
pub fn init_log(level: LevelFilter) -> Result<(), StartError> {
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("cactuswheel_daemon", level)
        .format(|out, message, record| {
            let millis = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let line = serde_json::json!({
                "at": millis.as_millis() as u64,
                "level": record.level().as_str(),
                "from": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
