//! Cost of a job for its owner, from its submission to the end of its last run; of a call of
//! `Cell::poll` without events; and of collecting the input of a capacity plan. At several
//! fleet sizes, with one running job for every three workers.

#[path = "../tests/world/job.rs"]
#[allow(dead_code)] // The bench does not use all of it.
mod job;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_cell::{Bounds, Cell, Output, ShareRule};
use cactuswheel_model::{Map, Millis, Time};
use cactuswheel_work::{
    Cap, End, EndReason, FleetConfig, Presence, Room, Running, StartOrder, StartOutcome, TaskId,
    WorkerEntry, WorkerId, WorkerStatus,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

/// Numbers of workers.
const FLEET_SIZES: [usize; 4] = [50, 350, 1_100, 4_000];

/// Number of tasks in a job.
const TASKS_PER_JOB: u32 = 8;

/// Number of workers in a rack.
const RACK_WORKERS: usize = 20;

/// Number of racks in a data centre.
const ZONE_RACKS: usize = 11;

/// The runs on a worker and its end records, as its polls report them.
#[derive(Default)]
struct WorkerState {
    running: Vec<Running>,
    ended: Vec<End>,
    /// Number of the newest poll.
    last_poll: u64,
    /// Number of the newest end record.
    last_end: u64,
}

/// A cell whose start orders and appends are answered at once; polls are answered on request.
struct Fixture {
    cell: Cell,
    now: Time,
    worker_states: Map<WorkerId, WorkerState>,
    /// Identifier of the next job.
    next: u64,
}

impl Fixture {
    /// Creates a cell with this number of workers and one running job for every three workers.
    fn new(workers: usize) -> Self {
        let bounds = Bounds {
            lease: Millis::new(4_500),
            retention: Millis::new(120_000),
            pace_delay: Millis::new(100),
            poll_limit: Millis::new(1_500),
            max_batch: 512 << 10,
            stop_time: Millis::new(400),
            share: ShareRule {
                window: Duration::from_secs(5),
                burst: 0.1,
                slack: 20,
            },
        };
        let mut cell = Cell::new(bounds, 1, Arc::new(uncapped_config()));
        cell.finish_restore();
        let mut fixture = Self {
            cell,
            now: Time::new(1_000_000),
            worker_states: Map::default(),
            next: 1,
        };
        for number in 0..workers {
            let entry = entry(number);
            fixture
                .worker_states
                .insert(entry.id.clone(), WorkerState::default());
            fixture.cell.register_worker(fixture.now, entry);
        }
        fixture.poll_until_idle();
        fixture.answer_all();
        for _ in 0..workers / 3 {
            fixture.submit();
        }
        fixture
    }

    /// Carries out the cell's outputs until there are none that lead to further events.
    fn poll_until_idle(&mut self) {
        loop {
            let outputs = self.cell.poll(self.now, 0);
            let mut busy = false;
            for output in outputs {
                busy |= self.execute(output);
            }
            if !busy {
                return;
            }
        }
    }

    /// Carries out an output; returns whether it led to an event.
    fn execute(&mut self, output: Output) -> bool {
        match output {
            Output::Append(batch) => {
                self.cell.appended(self.now, batch.number);
                true
            }
            Output::PollWorker {
                worker,
                poll_number,
                ..
            } => {
                if let Some(state) = self.worker_states.get_mut(&worker) {
                    state.last_poll = poll_number;
                    state.ended.clear();
                }
                false
            }
            Output::Start { worker, order, .. } => {
                self.start(&worker, &order);
                true
            }
            _ => false,
        }
    }

    fn start(&mut self, worker: &WorkerId, order: &StartOrder) {
        if let Some(state) = self.worker_states.get_mut(worker) {
            state.running.push(Running {
                task: order.task,
                run: order.run,
                checkpoint: String::new(),
                percent: 50,
                gauge: 0,
            });
        }
        let started = StartOutcome::Started;
        self.cell
            .start_answered(self.now, worker, order.task, order.run, started);
    }

    /// Answers the newest poll of every worker.
    fn answer_all(&mut self) {
        let ids: Vec<WorkerId> = self.worker_states.keys().cloned().collect();
        for id in ids {
            self.answer(&id);
        }
        self.poll_until_idle();
    }

    /// Answers the newest poll of a worker.
    fn answer(&mut self, id: &WorkerId) {
        let Some(state) = self.worker_states.get(id) else {
            return;
        };
        let look = WorkerStatus {
            clock: self.now.get(),
            born: 7,
            running: state.running.clone(),
            ended: state.ended.clone(),
        };
        self.cell
            .poll_answered(self.now, id, state.last_poll, Ok(look));
    }

    /// Submits a job and starts its tasks; returns the job's identifier.
    fn submit(&mut self) -> u64 {
        let id = self.next;
        self.next += 1;
        let job = job::job(id, job::steps(1, TASKS_PER_JOB, 1_500));
        self.cell.submit(self.now, job, Duration::ZERO);
        self.poll_until_idle();
        id
    }

    /// Completes one run on a worker whose task satisfies `is_of_job`; returns whether there was
    /// one.
    fn end_one(&mut self, id: &WorkerId, is_of_job: impl Fn(TaskId) -> bool) -> bool {
        let Some(state) = self.worker_states.get_mut(id) else {
            return false;
        };
        let Some(at) = state.running.iter().position(|r| is_of_job(r.task)) else {
            return false;
        };
        let run = state.running.remove(at);
        state.last_end += 1;
        state.ended.push(End {
            number: state.last_end,
            task: run.task,
            run: run.run,
            how: EndReason::Done,
            checkpoint: String::new(),
        });
        true
    }
}

/// The configuration of the tests without the team's quota.
fn uncapped_config() -> FleetConfig {
    let mut config = job::config();
    for team in config.teams.values_mut() {
        team.cap = Cap(Room::default());
    }
    config
}

fn entry(number: usize) -> WorkerEntry {
    let (rack, zone) = (number / RACK_WORKERS, number / RACK_WORKERS / ZONE_RACKS);
    WorkerEntry {
        id: format!("i-{number:08x}").into(),
        service: "pool".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1 + number as u16)),
        zone: format!("dc{zone}").into(),
        presence: Presence::Ready,
        born: 7,
        room: Room {
            cpu: 64_000,
            memory: 131_072,
            gpu: 0,
        },
        labels: vec!["a".to_owned(), format!("r{rack}")],
    }
}

fn events(c: &mut Criterion) {
    let mut group = c.benchmark_group("job of eight tasks");
    group.sample_size(20);
    for size in FLEET_SIZES {
        let mut fixture = Fixture::new(size);
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter_custom(|times| {
                let mut spent = Duration::ZERO;
                for _ in 0..times {
                    let start = std::time::Instant::now();
                    let job = fixture.submit();
                    spent += start.elapsed();
                    // The time to find the job's workers is not the cell's, so it is not counted.
                    spent += timed_end(&mut fixture, job);
                }
                spent
            });
        });
    }
    group.finish();
    let mut group = c.benchmark_group("poll without events");
    for size in FLEET_SIZES {
        let mut fixture = Fixture::new(size);
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| fixture.cell.poll(fixture.now, 0));
        });
    }
    group.finish();
    let mut group = c.benchmark_group("loads and workers for a plan");
    for size in FLEET_SIZES {
        let fixture = Fixture::new(size);
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| (fixture.cell.loads(), fixture.cell.workers()));
        });
    }
    group.finish();
}

/// Completes a job's tasks; returns the time that the cell took to process their ends.
fn timed_end(fixture: &mut Fixture, job: u64) -> Duration {
    let is_of_job = |task: TaskId| task.job().get() == job;
    let busy = fixture.worker_states.iter();
    let busy = busy.filter(|(_, p)| p.running.iter().any(|r| is_of_job(r.task)));
    let busy: Vec<WorkerId> = busy.map(|(id, _)| id.clone()).collect();
    let mut spent = Duration::ZERO;
    for id in busy {
        while fixture.end_one(&id, is_of_job) {
            let start = std::time::Instant::now();
            fixture.answer(&id);
            fixture.poll_until_idle();
            spent += start.elapsed();
        }
    }
    spent
}

criterion_group!(benches, events);
criterion_main!(benches);
