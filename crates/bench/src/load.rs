//! Load from several connections at once.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::client::Client;

/// What a load saw.
#[derive(Debug)]
pub(crate) struct Seen {
    /// Latencies of right answers, in microseconds.
    pub(crate) latency: Histogram<u64>,
    /// Requests without a right answer.
    pub(crate) wrong: u64,
    /// How long it took.
    pub(crate) took: Duration,
}

impl Seen {
    /// Nothing yet.
    pub(crate) fn new() -> Self {
        Self {
            latency: Histogram::new(3).expect("three digits are in range"),
            wrong: 0,
            took: Duration::ZERO,
        }
    }

    /// Adds what another load saw after this one.
    pub(crate) fn add(&mut self, other: Self) {
        self.take(&other);
        self.took += other.took;
    }

    /// Right answers a second.
    pub(crate) fn rate(&self) -> f64 {
        self.latency.len() as f64 / self.took.as_secs_f64()
    }

    fn take(&mut self, other: &Self) {
        self.latency
            .add(&other.latency)
            .expect("histograms of one shape add");
        self.wrong += other.wrong;
    }

    /// Notes one request.
    pub(crate) fn note(&mut self, right: bool, latency: Duration) {
        match right {
            true => self
                .latency
                .record(latency.as_micros() as u64)
                .expect("the histogram grows"),
            false => self.wrong += 1,
        }
    }
}

/// Sends from `lanes` connections to `targets` for `time`: as fast as answers come, or
/// `rate` requests a second in all.
pub(crate) async fn run(
    targets: &[SocketAddr],
    lanes: usize,
    rate: Option<f64>,
    time: Duration,
) -> Seen {
    let mut clients = Vec::new();
    for lane in 0..lanes {
        clients.push(Client::connect(targets[lane % targets.len()]).await);
    }
    let start = Instant::now();
    let tasks: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(lane, client)| {
            let step = rate.map(|rate| Duration::from_secs_f64(lanes as f64 / rate));
            let first = step.map_or(start, |step| start + step * lane as u32 / lanes as u32);
            tokio::spawn(drive(client, first, step, start + time))
        })
        .collect();
    let mut seen = Seen::new();
    for task in tasks {
        seen.take(&task.await.expect("a lane does not panic"));
    }
    seen.took = start.elapsed();
    seen
}

/// Sends on one connection until `end`.
///
/// A request that is due while the last one still runs counts from when it was due: otherwise
/// a slow answer would hide the wait of those behind it.
async fn drive(mut client: Client, first: Instant, step: Option<Duration>, end: Instant) -> Seen {
    let mut seen = Seen::new();
    let mut due = first;
    while due < end && Instant::now() < end {
        let late = Instant::now() > due;
        if !late {
            tokio::time::sleep_until(due.into()).await;
        }
        let start = match (step, late) {
            (Some(_), true) => due,
            _ => Instant::now(),
        };
        let right = client.send().await;
        seen.note(right, start.elapsed());
        due = step.map_or_else(Instant::now, |step| due + step);
    }
    seen
}
