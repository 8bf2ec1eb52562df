//! What this process uses.

use std::fs;
use std::io;
use std::time::Duration;

/// Ticks a second in which the kernel counts processor time.
const TICKS: u64 = 100;

/// Processor time of all threads of this name, to a hundredth of a second.
pub(crate) fn cpu(thread: &str) -> io::Result<Duration> {
    let mut ticks = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        // A thread may end in between.
        let name = fs::read_to_string(path.join("comm")).unwrap_or_default();
        if name.trim_end() != thread {
            continue;
        }
        let stat = fs::read_to_string(path.join("stat")).unwrap_or_default();
        ticks += spent(&stat);
    }
    Ok(Duration::from_millis(ticks * 1000 / TICKS))
}

/// User and system time of a line of `stat`, in ticks.
fn spent(stat: &str) -> u64 {
    let after = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after.split_whitespace().collect();
    let field = |n: usize| fields.get(n).and_then(|f| f.parse::<u64>().ok());
    field(11).unwrap_or(0) + field(12).unwrap_or(0)
}

/// Resident memory of this process, in KiB.
pub(crate) fn memory() -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number
        .and_then(|n| n.parse().ok())
        .ok_or_else(|| io::Error::other("no resident size"))
}
