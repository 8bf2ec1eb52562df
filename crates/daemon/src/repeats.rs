//! Log lines that say the same again.

use std::time::Duration;

use cactuswheel_model::{Map, Time};

/// Time for which a line is not written again.
const QUIET: Duration = Duration::from_secs(60);

/// Leaves out a line that repeats the last one from its place.
///
/// Failure: while the platform is down, its followers try several times a second, each with the
/// same warning, for hours; what else happens is lost among them. A line that differs from its
/// place's last one always shows, and so does the same one once in a while, with the count.
#[derive(Debug, Default)]
pub struct Repeats {
    /// The last line of each place; as many as there are modules that log.
    last: Map<String, Last>,
}

#[derive(Debug)]
struct Last {
    message: String,
    /// When it was written.
    at: Time,
    /// How often it was left out since.
    repeated: u64,
}

impl Repeats {
    /// Whether a line from `target` is written; if so, how many of its kind were left out.
    pub fn allow(&mut self, target: &str, message: &str, now: Time) -> Option<u64> {
        let repeated = match self.last.get_mut(target) {
            Some(last) if last.message == message => {
                if now.since(last.at) < QUIET {
                    last.repeated += 1;
                    return None;
                }
                last.repeated
            }
            _ => 0,
        };
        let last = Last {
            message: message.to_owned(),
            at: now,
            repeated: 0,
        };
        self.last.insert(target.to_owned(), last);
        Some(repeated)
    }
}
