//! Reads files and standard input.

use std::io::Read;
use std::path::Path;

use cactuswheel_http::parse_json;
use cactuswheel_model::Ticket;

use crate::CliError;

/// Most bytes read from standard input for a key.
const MAX_KEY_BYTES: u64 = 4096;

/// Reads a ticket from a JSON file.
pub(crate) fn read_ticket(file: &Path) -> Result<Ticket, CliError> {
    let text = std::fs::read(file).map_err(|e| CliError::file(file, e))?;
    parse_json(&text).map_err(|e| CliError::file(file, e))
}

/// Reads a key and strips one trailing line ending (LF or CRLF).
pub(crate) fn read_key(input: impl Read) -> Result<String, CliError> {
    let mut text = String::new();
    input
        .take(MAX_KEY_BYTES)
        .read_to_string(&mut text)
        .map_err(|e| CliError::Input(e.to_string()))?;
    let key = text.strip_suffix('\n').unwrap_or(&text);
    let key = key.strip_suffix('\r').unwrap_or(key);
    let is_printable = |b: u8| b.is_ascii_graphic();
    if key.is_empty() || !key.bytes().all(is_printable) {
        let message = "a key is one line of printable characters without spaces";
        return Err(CliError::Input(message.into()));
    }
    Ok(key.to_owned())
}
