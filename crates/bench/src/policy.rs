//! Useful answers under bursts of demand and faults, over all entries.
//!
//! Each service in turn asks five times its mean for some seconds, more than its pool holds,
//! and a twentieth of that in between.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cactuswheel_model::{Code, Ran};
use cactuswheel_standin::Upstream;

use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use crate::client::Client;
use crate::load::Seen;
use crate::shape::Shape;
use crate::stage::{SLOTS, Stage};

/// Time that a request runs, in milliseconds, as upstreams take it.
const RUN: &str = "50";

/// The same.
const RUN_TIME: Duration = Duration::from_millis(50);

/// Time in which an answer is useful.
const DEADLINE: (&str, &str) = ("x-deadline-ms", "1000");

/// Length of each service's burst.
const BURST: Duration = Duration::from_secs(3);

/// Requests a second in a burst, as a part of what the pool holds.
const EXCESS: f64 = 1.25;

/// Requests a second between bursts, as a part of those in one.
const QUIET: f64 = 1.0 / 20.0;

/// Time between two looks at the demand.
const TICK: Duration = Duration::from_millis(5);

/// What is wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Nothing.
    None,
    /// A tenth of the upstreams takes ten times as long.
    Slow,
    /// Every upstream of the first service breaks every connection; requests are idempotent, so
    /// that they may be tried again.
    Outage,
}

/// Idle connections to one entry.
#[derive(Debug)]
struct Lanes {
    at: SocketAddr,
    idle: Mutex<Vec<Client>>,
}

/// What became of one request.
#[derive(Debug, Clone, Copy)]
struct Done {
    service: usize,
    code: Option<u16>,
    took: Duration,
}

/// Measures and prints each fault's effect.
pub(crate) fn measure() -> Result<(), Box<dyn Error>> {
    for fault in [Fault::None, Fault::Slow, Fault::Outage] {
        let stage = Stage::start(Shape::TODAY)?;
        set(&stage.upstreams, fault);
        let done = stage.callers.block_on(demand(&stage, fault));
        report(&stage, fault, &done);
    }
    Ok(())
}

fn set(upstreams: &[Upstream], fault: Fault) {
    match fault {
        Fault::None => {}
        Fault::Slow => {
            let slow = upstreams.iter().step_by(10);
            slow.for_each(|u| u.set_delay(RUN_TIME * 9));
        }
        Fault::Outage => {
            let first = &upstreams[..Shape::TODAY.upstreams];
            first.iter().for_each(|u| u.set_broken(true));
        }
    }
}

/// Headers of a request.
type Headers = &'static [(&'static str, &'static str)];

fn headers(fault: Fault) -> Headers {
    match fault {
        Fault::Outage => &[("x-sleep-ms", RUN), DEADLINE, ("x-idempotent", "true")],
        Fault::None | Fault::Slow => &[("x-sleep-ms", RUN), DEADLINE],
    }
}

/// Requests a second that a pool holds.
fn capacity() -> f64 {
    (Shape::TODAY.upstreams * SLOTS) as f64 / RUN_TIME.as_secs_f64()
}

async fn demand(stage: &Stage, fault: Fault) -> Vec<Done> {
    let headers = headers(fault);
    let lanes = |at: &SocketAddr| {
        let idle = Mutex::default();
        Arc::new(Lanes { at: *at, idle })
    };
    let lanes: Vec<_> = stage.entries.iter().map(lanes).collect();
    let mut tasks = JoinSet::new();
    let mut owed = [0.0; Shape::TODAY.services];
    let (start, mut sent) = (Instant::now(), 0);
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    while start.elapsed() < BURST * Shape::TODAY.services as u32 {
        ticks.tick().await;
        let turn = (start.elapsed().as_secs_f64() / BURST.as_secs_f64()) as usize;
        for (service, owed) in owed.iter_mut().enumerate() {
            let part = if service == turn { 1.0 } else { QUIET };
            *owed += capacity() * EXCESS * part * TICK.as_secs_f64();
            while *owed >= 1.0 {
                *owed -= 1.0;
                sent += 1;
                tasks.spawn(ask(lanes[sent % lanes.len()].clone(), service, headers));
            }
        }
    }
    tasks.join_all().await
}

async fn ask(lanes: Arc<Lanes>, service: usize, headers: Headers) -> Done {
    let start = Instant::now();
    let idle = lanes.idle.lock().expect("no lane panics").pop();
    let mut client = match idle {
        Some(client) => client,
        None => Client::connect(lanes.at).await,
    };
    let path = format!("/s/s{service}/x");
    let code = client.ask(&path, headers).await;
    if code.is_some() {
        lanes.idle.lock().expect("no lane panics").push(client);
    }
    Done {
        service,
        code,
        took: start.elapsed(),
    }
}

fn report(stage: &Stage, fault: Fault, done: &[Done]) {
    let whole = done
        .iter()
        .filter(|d| fault != Fault::Outage || d.service > 0);
    let mut seen = Seen::new();
    let (mut asked, mut refused, mut unknown) = (0_u64, 0_u64, 0_u64);
    for d in whole {
        asked += 1;
        match d.code.and_then(Code::from_number).map(Code::ran) {
            Some(Ran::Ran) => seen.note(true, d.took),
            Some(Ran::NotRun) => refused += 1,
            _ => unknown += 1,
        }
    }
    let useful = seen.latency.len();
    let best = optimum(asked, fault);
    let at = |q| seen.latency.value_at_quantile(q) / 1000;
    println!(
        "{fault:?}: {asked} asked, {useful} useful = {:.1}% of asked, {:.1}% of the optimum; \
         {refused} not run, {unknown} unknown; p50 {} p99 {} ms",
        100.0 * useful as f64 / asked as f64,
        100.0 * useful as f64 / best,
        at(0.5),
        at(0.99),
    );
    println!("  other codes: {}", codes(done));
    let attempts: u64 = stage.upstreams.iter().map(Upstream::received).sum();
    println!(
        "  attempts a request {:.3}",
        attempts as f64 / done.len() as f64
    );
    if fault == Fault::Outage {
        let first = &stage.upstreams[..Shape::TODAY.upstreams];
        let attempts: u64 = first.iter().map(Upstream::received).sum();
        let asked = done.iter().filter(|d| d.service == 0).count();
        let each = attempts as f64 / asked as f64;
        println!("  at the pool that is out: {asked} asked, {each:.3} attempts a request");
    }
}

/// How many requests did not run, by code.
fn codes(done: &[Done]) -> String {
    let mut counts = BTreeMap::<u16, u64>::new();
    let codes = done.iter().filter_map(|d| d.code);
    for code in codes.filter(|code| *code != 0) {
        *counts.entry(code).or_default() += 1;
    }
    let shown = counts.iter().map(|(code, n)| format!("{code}: {n}"));
    shown.collect::<Vec<_>>().join(", ")
}

/// Useful answers if every slot were used whenever there is work, queued up to the deadline.
fn optimum(asked: u64, fault: Fault) -> f64 {
    let pools = Shape::TODAY.services - usize::from(fault == Fault::Outage);
    let slowed = if fault == Fault::Slow {
        0.9 + 0.1 / 10.0
    } else {
        1.0
    };
    let quiet = (pools - 1) as f64 * BURST.as_secs_f64() * QUIET * EXCESS;
    let rest = if fault == Fault::Outage {
        BURST.as_secs_f64() * QUIET * EXCESS
    } else {
        0.0
    };
    let window = BURST.as_secs_f64() + 1.0 - RUN_TIME.as_secs_f64();
    let burst = (window * slowed).min(BURST.as_secs_f64() * EXCESS);
    let all = pools as f64 * (burst + quiet + rest) * capacity();
    all.min(asked as f64)
}
