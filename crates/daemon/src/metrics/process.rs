//! What this process uses, as Linux tells it.

use std::fs;

/// Ticks of a second in `/proc/self/stat`; Linux shows 100 whatever the kernel runs at.
const TICKS: f64 = 100.0;

/// Processor time so far, in seconds.
pub(super) fn cpu_seconds() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // The name, in brackets, may hold spaces; user and system time are fields 14 and 15.
    let (_, rest) = stat.rsplit_once(") ")?;
    let mut times = rest.split(' ').skip(11);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some((user + system) / TICKS)
}

/// Memory held in RAM, in bytes.
pub(super) fn memory_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kib * 1024)
}
