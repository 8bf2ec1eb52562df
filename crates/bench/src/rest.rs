//! What an entry costs without requests.

use std::error::Error;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use crate::stage::{ENTRY, KEY, Stage};
use crate::usage;

/// Callers' connections.
const CONNS: usize = 2_000;

/// Time over which processor time is taken.
const TIME: Duration = Duration::from_secs(5);

/// Measures and prints memory and processor time.
pub(crate) fn measure(stage: &Stage) -> Result<(), Box<dyn Error>> {
    sleep(Duration::from_secs(1));
    let before = usage::cpu(ENTRY)?;
    sleep(TIME);
    let used = usage::cpu(ENTRY)?.saturating_sub(before);
    let percent = 100.0 * used.as_secs_f64() / TIME.as_secs_f64();
    println!("at rest: entry's processor time {percent:.2}% of a core");
    let rest = usage::memory()?;
    println!("at rest: {} KiB resident, all roles in one process", rest);
    let mut open = Vec::new();
    for _ in 0..CONNS {
        open.push(exchange(stage)?);
    }
    let full = usage::memory()?;
    let each = full.saturating_sub(rest) as f64 / CONNS as f64;
    println!("{CONNS} idle callers' connections: {full} KiB, {each:.1} KiB each");
    Ok(())
}

/// A connection that has served one request; the socket has no buffer in this process.
fn exchange(stage: &Stage) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(stage.entries[0])?;
    write!(
        stream,
        "GET /s/s0/x HTTP/1.1\r\nhost: bench\r\nauthorization: Bearer {KEY}\r\n\r\n"
    )?;
    let mut answer = [0; 1024];
    let len = stream.read(&mut answer)?;
    match answer[..len].starts_with(b"HTTP/1.1 200") {
        true => Ok(stream),
        false => Err(std::io::Error::other("no right answer")),
    }
}
