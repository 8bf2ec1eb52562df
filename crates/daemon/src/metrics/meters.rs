//! Instruments that look a value up when somebody reads.

use std::sync::{Arc, Weak};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Meter, MeterProvider};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;

use super::Metrics;
use super::process::{cpu_seconds, memory_bytes};
use crate::Phase;
use crate::shared::Shared;

/// Registers the instruments of a node; they live as long as what is returned.
pub(crate) fn start(shared: &Arc<Shared>) -> Result<SdkMeterProvider, OTelSdkError> {
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(shared.metrics.registry.clone())
        .without_target_info()
        .scope_info_enabled(false)
        .build()?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    let meter = provider.meter("cactuswheel");
    let weak = Arc::downgrade(shared);
    requests(&meter, &weak);
    control(&meter, &weak);
    platform(&meter, &weak);
    peers(&meter, &weak);
    process(&meter);
    Ok(provider)
}

fn requests(meter: &Meter, shared: &Weak<Shared>) {
    let weak = shared.clone();
    meter
        .u64_observable_counter("cactuswheel_answers")
        .with_description("Answers to callers by result code")
        .with_callback(move |out| by_code(&weak, out))
        .build();
    let weak = shared.clone();
    meter
        .u64_observable_counter("cactuswheel_retries")
        .with_description("Further attempts at an upstream")
        .with_callback(move |out| {
            if let Some(shared) = weak.upgrade() {
                out.observe(shared.metrics.requests.retries(), &[]);
            }
        })
        .build();
    let connections = |s: &Shared| s.metrics.requests.connections() as f64;
    gauge(
        meter,
        shared,
        "cactuswheel_connections",
        "Connections of callers",
        connections,
    );
    let running = |s: &Shared| {
        let running = s.routes.load();
        let running = running.upstreams().map(|u| f64::from(u.running()));
        running.sum()
    };
    gauge(
        meter,
        shared,
        "cactuswheel_running",
        "Requests on upstreams",
        running,
    );
    let upstreams = |s: &Shared| s.routes.load().upstreams().count() as f64;
    gauge(
        meter,
        shared,
        "cactuswheel_upstreams",
        "Upstreams that may get work",
        upstreams,
    );
}

fn control(meter: &Meter, shared: &Weak<Shared>) {
    let ready = |s: &Shared| f64::from(u8::from(s.phase.get() == Phase::Ready));
    gauge(
        meter,
        shared,
        "cactuswheel_ready",
        "1 if the entry takes callers",
        ready,
    );
    let next = |s: &Shared| s.state.load().next().get() as f64;
    gauge(
        meter,
        shared,
        "cactuswheel_log_next",
        "Offset of the next record to apply",
        next,
    );
    let lag = |s: &Shared| {
        let next = s.state.load().next().get();
        s.replica().known_head().get().saturating_sub(next) as f64
    };
    gauge(
        meter,
        shared,
        "cactuswheel_log_lag",
        "Records known to be in the log and not yet applied",
        lag,
    );
    age(
        meter,
        shared,
        "cactuswheel_log_age_seconds",
        "Time since the platform's log last answered",
        |m| &m.log,
    );
    age(
        meter,
        shared,
        "cactuswheel_roster_age_seconds",
        "Time since the platform's list of instances last answered",
        |m| &m.roster,
    );
}

fn platform(meter: &Meter, shared: &Weak<Shared>) {
    let weak = shared.clone();
    meter
        .u64_observable_counter("cactuswheel_platform_bytes")
        .with_description("Bytes of calls to the platform")
        .with_callback(move |out| {
            let Some(shared) = weak.upgrade() else { return };
            let bytes = shared.platform.meter();
            let way = |name| KeyValue::new("way", name);
            out.observe(bytes.sent(), &[way("sent")]);
            out.observe(bytes.received(), &[way("received")]);
        })
        .build();
}

fn peers(meter: &Meter, shared: &Weak<Shared>) {
    let weak = shared.clone();
    meter
        .f64_observable_gauge("cactuswheel_peer_age_seconds")
        .with_description("Time since a peer was last heard")
        .with_callback(move |out| {
            let Some(shared) = weak.upgrade() else { return };
            for (entry, heard) in shared.heard().iter() {
                let name = KeyValue::new("entry", entry.to_string());
                out.observe(heard.at.elapsed().as_secs_f64(), &[name]);
            }
        })
        .build();
}

fn process(meter: &Meter) {
    meter
        .f64_observable_counter("process_cpu_seconds")
        .with_description("Processor time used")
        .with_callback(|out| cpu_seconds().into_iter().for_each(|s| out.observe(s, &[])))
        .build();
    meter
        .u64_observable_gauge("process_resident_memory_bytes")
        .with_description("Memory held in RAM")
        .with_callback(|out| memory_bytes().into_iter().for_each(|b| out.observe(b, &[])))
        .build();
}

fn by_code(shared: &Weak<Shared>, out: &dyn AsyncInstrument<u64>) {
    let Some(shared) = shared.upgrade() else {
        return;
    };
    for (code, count) in shared.metrics.requests.by_code() {
        let number = KeyValue::new("code", i64::from(code.number()));
        out.observe(count, &[number]);
    }
}

fn gauge(
    meter: &Meter,
    shared: &Weak<Shared>,
    name: &'static str,
    help: &'static str,
    value: impl Fn(&Shared) -> f64 + Send + Sync + 'static,
) {
    let weak = shared.clone();
    meter
        .f64_observable_gauge(name)
        .with_description(help)
        .with_callback(move |out| {
            if let Some(shared) = weak.upgrade() {
                out.observe(value(&shared), &[]);
            }
        })
        .build();
}

fn age(
    meter: &Meter,
    shared: &Weak<Shared>,
    name: &'static str,
    help: &'static str,
    part: fn(&Metrics) -> &super::Ago,
) {
    let value = move |s: &Shared| part(&s.metrics).age().as_secs_f64();
    gauge(meter, shared, name, help, value);
}
