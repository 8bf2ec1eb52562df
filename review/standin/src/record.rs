//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Writes the record and knows the time since the start of the case.
pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
        })
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{:8.3} {}", self.now(), text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:8.3} {}", self.now(), text.as_ref());
        self.line(text);
        let _ = self.file.lock().expect("no writer panics").flush();
    }
}

/// Milliseconds since 1970.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
