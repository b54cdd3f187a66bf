//! Metrics and their exposition.
//!
//! The values of each label come from an enum or from constants of the program, so that the number
//! of series is bounded. Values that other modules count themselves are copied here before each
//! [`TierMetrics::render`].

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use derive_more::{Display, Error, From};
use figglade::border::AttemptError;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::{error::OTelSdkError, metrics::SdkMeterProvider};
use prometheus::{Registry, TextEncoder};

use crate::{peer_link::PeerTraffic, timeline::TimelineCounts};

/// The prefix of every metric name.
const NAMESPACE: &str = "figglade";

/// The upper bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 16] = [
    0.001, 0.002, 0.004, 0.006, 0.01, 0.015, 0.025, 0.04, 0.071, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5,
    10.0,
];

/// The upper bounds of the coverage histogram, as fractions.
const COVERAGE_BOUNDS: [f64; 8] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.99, 0.9999, 1.0];

/// The upper bounds of the extra load histogram, as attempts beyond the first one, per shard.
const EXTRA_LOAD_BOUNDS: [f64; 9] = [0.0, 0.01, 0.03, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0];

/// The reason the instruments could not be set up.
#[derive(Debug, Display, Error, From)]
#[display("cannot set up metrics: {_0}")]
pub struct MetricsError(OTelSdkError);

/// The kind of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum RequestKind {
    /// A search over every shard.
    Query,
    /// A read of one record.
    Lookup,
    /// A request that runs at most once.
    Action,
}

pub use figglade::filter::fanout::AttemptKind;

/// The state of the control plane as this instance sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlGauges {
    /// Instances that are alive.
    pub members_alive: u64,
    /// Targets that are ready.
    pub targets_ready: u64,
    /// The version of the configuration in force.
    pub config_version: u64,
    /// The last committed index of the quorum log that this instance knows.
    pub commit_index: u64,
    /// Whether this instance leads the control group.
    pub is_leader: bool,
    /// Whether the last proof that this instance is current is recent enough.
    pub is_current: bool,
}

/// The connections to targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolGauges {
    /// Connections that are open.
    pub open: u64,
    /// Connections that carry a request.
    pub busy: u64,
    /// Connections that this instance may have open under its share.
    pub share: u64,
    /// Connections established since the start.
    pub made: u64,
}

/// The instruments of an instance and their registry.
pub struct TierMetrics {
    registry: Registry,
    provider: SdkMeterProvider,
    latency: Histogram<f64>,
    coverage: Histogram<f64>,
    extra_load: Histogram<f64>,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    refusals: Counter<u64>,
    discards: Counter<u64>,
    peer: PeerValues,
    control: ControlValues,
    pool: PoolValues,
    timeline: TimelineValues,
}

impl TierMetrics {
    /// Builds the instruments.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be set up.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(NAMESPACE)
            .scope_info_enabled(false)
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(NAMESPACE);
        let histogram = |name, unit, text, bounds: &[f64]| {
            let builder = meter.f64_histogram(name).with_unit(unit).with_description(text);
            builder.with_boundaries(bounds.to_vec()).build()
        };
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        Ok(Self {
            latency: histogram("latency", "s", "Time spent in the tier", &LATENCY_BOUNDS),
            coverage: histogram(
                "coverage",
                "",
                "Fraction of the documents that was searched",
                &COVERAGE_BOUNDS,
            ),
            extra_load: histogram(
                "extra_load",
                "",
                "Attempts beyond one a shard, per shard",
                &EXTRA_LOAD_BOUNDS,
            ),
            requests: counter("requests", "Requests answered"),
            attempts: counter("attempts", "Attempts sent to targets"),
            refusals: counter("refusals", "Requests refused, by error code"),
            discards: counter("discards", "Discarded answers and attempts, by reason"),
            peer: PeerValues::new(&meter),
            control: ControlValues::new(&meter),
            pool: PoolValues::new(&meter),
            timeline: TimelineValues::new(&meter),
            registry,
            provider,
        })
    }

    /// Records an answered request and the time it took in the tier.
    pub fn record_request(&self, kind: RequestKind, latency: Duration) {
        let labels = [KeyValue::new("kind", kind.to_string())];
        self.requests.add(1, &labels);
        self.latency.record(latency.as_secs_f64(), &labels);
    }

    /// Records the fraction of the documents that was searched; an unknown one is not recorded.
    pub fn record_coverage(&self, kind: RequestKind, fraction: Option<f64>) {
        if let Some(fraction) = fraction {
            self.coverage.record(fraction, &[KeyValue::new("kind", kind.to_string())]);
        }
    }

    /// Records how many attempts beyond one per shard a request made, divided by its shards.
    pub fn record_extra_load(&self, kind: RequestKind, attempts: u64, shards: u64) {
        if shards > 0 {
            let extra = attempts.saturating_sub(shards) as f64 / shards as f64;
            self.extra_load.record(extra, &[KeyValue::new("kind", kind.to_string())]);
        }
    }

    /// Counts attempts.
    pub fn count_attempts(&self, kind: AttemptKind, attempts: u64) {
        self.attempts.add(attempts, &[KeyValue::new("kind", kind.to_string())]);
    }

    /// Counts a refused request by its error code.
    pub fn count_refusal(&self, error_code: &'static str) {
        self.refusals.add(1, &[KeyValue::new("code", error_code)]);
    }

    /// Counts an attempt without a usable answer.
    pub fn count_discard(&self, error: AttemptError) {
        self.discards.add(1, &[KeyValue::new("reason", discard_reason(error))]);
    }

    /// Replaces the counters of the peer links.
    pub fn set_peer_traffic(&self, traffic: &PeerTraffic) {
        self.peer.set(traffic);
    }

    /// Replaces the state of the control plane.
    pub fn set_control(&self, gauges: &ControlGauges) {
        self.control.set(gauges);
    }

    /// Replaces the state of the connections to targets.
    pub fn set_pool(&self, gauges: &PoolGauges) {
        self.pool.set(gauges);
    }

    /// Replaces the counters of the time line.
    pub fn set_timeline(&self, counts: &TimelineCounts) {
        self.timeline.set(counts);
    }

    /// Returns every metric in the text exposition format.
    ///
    /// # Errors
    ///
    /// Fails when a metric family cannot be encoded, such as one without a sample.
    pub fn render(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }

    /// Shuts the instruments down.
    ///
    /// # Errors
    ///
    /// Fails when the provider was already shut down.
    pub fn close(self) -> Result<(), MetricsError> {
        Ok(self.provider.shutdown()?)
    }
}

/// Returns the `reason` label of an attempt without a usable answer.
const fn discard_reason(error: AttemptError) -> &'static str {
    match error {
        AttemptError::NotSent => "not_sent",
        AttemptError::Shed => "shed",
        AttemptError::Draining => "draining",
        AttemptError::VersionNotHeld => "version_not_held",
        AttemptError::Mismatched => "mismatched",
        AttemptError::Malformed => "malformed",
        AttemptError::Oversized => "oversized",
        AttemptError::Status { .. } => "status",
        AttemptError::Lost => "lost",
        AttemptError::TimedOut => "timed_out",
    }
}

/// A value that another module counts; read when the metrics are rendered.
struct SharedValue(Arc<AtomicU64>);

impl SharedValue {
    /// Builds a value that only increases.
    fn counter(meter: &Meter, name: &'static str, text: &'static str) -> Self {
        let value = Arc::new(AtomicU64::new(0));
        let observed = Arc::clone(&value);
        meter
            .u64_observable_counter(name)
            .with_description(text)
            .with_callback(move |observer| observer.observe(observed.load(Ordering::Relaxed), &[]))
            .build();
        Self(value)
    }

    /// Builds a value that may increase and decrease.
    fn gauge(meter: &Meter, name: &'static str, text: &'static str) -> Self {
        let value = Arc::new(AtomicU64::new(0));
        let observed = Arc::clone(&value);
        meter
            .u64_observable_gauge(name)
            .with_description(text)
            .with_callback(move |observer| observer.observe(observed.load(Ordering::Relaxed), &[]))
            .build();
        Self(value)
    }

    fn set(&self, value: u64) {
        self.0.store(value, Ordering::Relaxed);
    }
}

/// Defines a group of values that are copied from a struct of another module. The name of each
/// metric is that of its identifier here.
macro_rules! shared_values {
    ($name:ident from $source:ty {
        $($kind:ident $metric:ident = $read:expr, $text:literal;)*
    }) => {
        struct $name {
            $($metric: SharedValue,)*
        }

        impl $name {
            fn new(meter: &Meter) -> Self {
                Self {
                    $($metric: SharedValue::$kind(meter, stringify!($metric), $text),)*
                }
            }

            fn set(&self, source: &$source) {
                $(
                    let read: fn(&$source) -> u64 = $read;
                    self.$metric.set(read(source));
                )*
            }
        }
    };
}

shared_values! {
    PeerValues from PeerTraffic {
        counter peer_bytes_in = |traffic| traffic.bytes_in, "Bytes read from peers";
        counter peer_bytes_out = |traffic| traffic.bytes_out, "Bytes written to peers";
        counter peer_frames_in = |traffic| traffic.frames_in, "Frames received from peers";
        counter peer_frames_out = |traffic| traffic.frames_out, "Frames sent to peers";
        counter peer_frames_dropped = |traffic| traffic.frames_dropped, "Frames dropped";
        counter peer_unknown_kinds = |traffic| traffic.unknown_kinds, "Frames of unknown kinds";
        counter peer_connections_failed = |traffic| traffic.connections_failed,
            "Connections to peers that failed";
        counter peer_connections_refused = |traffic| traffic.connections_refused,
            "Connections refused or without proof of a key";
        counter peer_connections_stalled = |traffic| traffic.connections_stalled,
            "Connections closed because the peer stopped responding";
        gauge peer_connections_open = |traffic| traffic.connections_open,
            "Connections with peers";
    }
}

shared_values! {
    ControlValues from ControlGauges {
        gauge members_alive = |gauges| gauges.members_alive, "Instances that are alive";
        gauge targets_ready = |gauges| gauges.targets_ready, "Targets that accept work";
        gauge config_version = |gauges| gauges.config_version, "Configuration in force";
        gauge log_commit_index = |gauges| gauges.commit_index,
            "Last committed index of the quorum log";
        gauge leader = |gauges| u64::from(gauges.is_leader),
            "1 where the instance leads the control group";
        gauge current = |gauges| u64::from(gauges.is_current),
            "1 where the instance can prove that it is current";
    }
}

shared_values! {
    PoolValues from PoolGauges {
        gauge target_connections_open = |gauges| gauges.open, "Connections to targets";
        gauge target_connections_busy = |gauges| gauges.busy,
            "Connections to targets that carry a request";
        gauge target_connections_share = |gauges| gauges.share,
            "Connections to targets that the instance may hold";
        counter target_connections_made = |gauges| gauges.made, "Connections made to targets";
    }
}

shared_values! {
    TimelineValues from TimelineCounts {
        counter timeline_recorded = |counts| counts.recorded, "Events recorded";
        counter timeline_not_written = |counts| counts.not_written,
            "Events that are in memory only";
        counter timeline_clock_drifts = |counts| counts.clock_drifts,
            "Received stamps too far ahead of the wall clock";
    }
}
