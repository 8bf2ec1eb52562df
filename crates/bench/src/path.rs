//! Requests through an entry beside requests straight to the upstreams.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use crate::load::{Seen, run};
use crate::stage::{ENTRY, Stage};
use crate::usage;

/// Connections of callers.
const LANES: usize = 32;

/// One slice of load; direct and through the entry take turns.
const SLICE: Duration = Duration::from_secs(2);

/// Slices of each kind.
const SLICES: usize = 3;

/// Measures and prints throughput and latency.
pub(crate) fn measure(stage: &Stage) -> Result<(), Box<dyn Error>> {
    let entry = [stage.entries[0]];
    // Connections and code warm up.
    slice(stage, &entry, None);
    let before = usage::cpu(ENTRY)?;
    let (direct, through) = turns(stage, None);
    let used = usage::cpu(ENTRY)?.saturating_sub(before);
    println!("full load, {LANES} connections, 256-byte bodies");
    report(&direct, &through);
    let each = used.as_secs_f64() * 1e6 / through.latency.len() as f64;
    println!("  entry's processor time: {each:.1} us a request");
    let rate = through.rate() / 2.0;
    println!("half load, {rate:.0} requests a second");
    let (direct, through) = turns(stage, Some(rate));
    report(&direct, &through);
    Ok(())
}

fn turns(stage: &Stage, rate: Option<f64>) -> (Seen, Seen) {
    let (mut direct, mut through) = (Seen::new(), Seen::new());
    for _ in 0..SLICES {
        direct.add(slice(stage, &stage.addrs, rate));
        through.add(slice(stage, &[stage.entries[0]], rate));
    }
    (direct, through)
}

fn slice(stage: &Stage, targets: &[SocketAddr], rate: Option<f64>) -> Seen {
    stage.callers.block_on(run(targets, LANES, rate, SLICE))
}

fn report(direct: &Seen, through: &Seen) {
    row("direct", direct);
    row("entry", through);
    let ratio = |q: f64| {
        let [d, t] = [direct, through].map(|s| s.latency.value_at_quantile(q) as f64);
        t / d.max(1.0)
    };
    println!(
        "  entry/direct  {:8.2}/s {:8.2} {:8.2} {:8.2}",
        through.rate() / direct.rate(),
        ratio(0.5),
        ratio(0.99),
        ratio(0.999),
    );
}

fn row(name: &str, seen: &Seen) {
    let at = |q| seen.latency.value_at_quantile(q);
    println!(
        "  {name:<12} {:9.0}/s p50 {:5} p99 {:5} p99.9 {:5} us, wrong {}",
        seen.rate(),
        at(0.5),
        at(0.99),
        at(0.999),
        seen.wrong,
    );
}
