//! Metrics, served at the metrics address.

use std::time::Duration;

use cactuswheel_adapter::traffic;
use cactuswheel_cell::Tallies;
use cactuswheel_model::Code;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::peer_traffic::traffic_by_kind;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];

/// Metrics of a node.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    cuts: Counter<u64>,
    latency: Histogram<f64>,
    append_failures: Counter<u64>,
    journal_time: Histogram<f64>,
    orders: Counter<u64>,
    polls: Counter<u64>,
    instance_orders: Counter<u64>,
    worker_ends: Counter<u64>,
    runs_lost: Counter<u64>,
    runs_vacated: Counter<u64>,
    given_up: Counter<u64>,
    preempted: Counter<u64>,
    preempted_work: Counter<u64>,
    holds: Counter<u64>,
    held_time: Counter<f64>,
    epoch: Gauge<u64>,
    relays: Gauge<u64>,
    busy: Gauge<u64>,
}

impl Metrics {
    pub(crate) fn new() -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("cactuswheel");
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let seconds = |name: &'static str, bounds: &[f64]| {
            let histogram = meter.f64_histogram(name);
            histogram.with_boundaries(bounds.to_vec()).build()
        };
        let calls = meter.u64_observable_counter("cactuswheel_node_calls");
        let calls = calls.with_callback(|observer| {
            for t in traffic() {
                observer.observe(t.calls, &[KeyValue::new("kind", t.kind)]);
            }
        });
        calls.build();
        let bytes = meter.u64_observable_counter("cactuswheel_node_call_bytes");
        let bytes = bytes.with_callback(|observer| {
            for t in traffic_by_kind() {
                let kind = KeyValue::new("kind", t.kind);
                let direction = |name: &'static str| KeyValue::new("direction", name);
                observer.observe(t.sent, &[kind.clone(), direction("out")]);
                observer.observe(t.received, &[kind, direction("in")]);
            }
        });
        bytes.build();
        Ok(Self {
            answers: counter("cactuswheel_node_answers"),
            refusals: counter("cactuswheel_node_refusals"),
            cuts: counter("cactuswheel_node_requests_cut"),
            latency: seconds("cactuswheel_node_answer_seconds", &LATENCY_BUCKETS),
            append_failures: counter("cactuswheel_node_append_failures"),
            journal_time: seconds("cactuswheel_node_journal_seconds", &LATENCY_BUCKETS),
            orders: counter("cactuswheel_node_orders"),
            polls: counter("cactuswheel_node_looks"),
            instance_orders: counter("cactuswheel_node_instance_orders"),
            worker_ends: counter("cactuswheel_node_worker_ends"),
            runs_lost: counter("cactuswheel_node_runs_lost"),
            runs_vacated: counter("cactuswheel_node_runs_vacated"),
            given_up: counter("cactuswheel_node_jobs_given_up"),
            preempted: counter("cactuswheel_node_runs_preempted"),
            preempted_work: counter("cactuswheel_node_preempted_core_milliseconds"),
            holds: counter("cactuswheel_node_pool_holds"),
            held_time: meter
                .f64_counter("cactuswheel_node_pool_hold_seconds")
                .build(),
            busy: meter
                .u64_gauge("cactuswheel_node_owner_busy_percent")
                .build(),
            relays: meter.u64_gauge("cactuswheel_node_relays").build(),
            epoch: meter.u64_gauge("cactuswheel_node_owner_epoch").build(),
            registry,
            _provider: provider,
        })
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }

    pub(crate) fn answered(&self, status: u16, took: Duration) {
        let status = KeyValue::new("status", i64::from(status));
        self.answers.add(1, &[status]);
        self.latency.record(took.as_secs_f64(), &[]);
    }

    pub(crate) fn refused(&self, code: Code) {
        let code = KeyValue::new("code", i64::from(code.number()));
        self.refusals.add(1, &[code]);
    }

    /// Counts a request whose connection ended without a response.
    pub(crate) fn cut(&self, stopping: bool) {
        self.cuts.add(1, &[KeyValue::new("stopping", stopping)]);
    }

    pub(crate) fn append_failed(&self, topic: &'static str) {
        self.append_failures
            .add(1, &[KeyValue::new("topic", topic)]);
    }

    pub(crate) fn journaled(&self, took: Duration) {
        self.journal_time.record(took.as_secs_f64(), &[]);
    }

    pub(crate) fn ordered(&self, kind: &'static str, outcome: &'static str) {
        let kind = KeyValue::new("kind", kind);
        let outcome = KeyValue::new("outcome", outcome);
        self.orders.add(1, &[kind, outcome]);
    }

    pub(crate) fn polled(&self, outcome: &'static str) {
        self.polls.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn instance_ordered(&self, outcome: &'static str) {
        self.instance_orders
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a hold of the pools that has ended.
    pub(crate) fn hold_ended(&self, held: Duration) {
        self.holds.add(1, &[]);
        self.held_time.add(held.as_secs_f64(), &[]);
    }

    /// Adds what the cell has counted since its tallies were last taken.
    pub(crate) fn add_tallies(&self, since: Tallies) {
        self.worker_ends.add(since.workers_ended, &[]);
        self.runs_lost.add(since.runs_lost, &[]);
        self.runs_vacated.add(since.runs_vacated, &[]);
        self.given_up.add(since.jobs_given_up, &[]);
        if since.runs_preempted > 0 {
            // Without preemption the text of the metrics has no line of it.
            self.preempted.add(since.runs_preempted, &[]);
            self.preempted_work.add(since.preempted_work, &[]);
        }
    }

    /// Sets the share of time during which the owner was busy, in percent.
    pub(crate) fn set_busy(&self, percent: u64) {
        self.busy.record(percent, &[]);
    }

    /// Sets the number of nodes that relay this owner's orders.
    pub(crate) fn set_relays(&self, count: usize) {
        self.relays.record(count as u64, &[]);
    }

    /// Sets the epoch of the ownership; 0 while this node does not own the cell.
    pub(crate) fn set_epoch(&self, epoch: u64) {
        self.epoch.record(epoch, &[]);
    }
}
