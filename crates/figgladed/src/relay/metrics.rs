//! Counters of the data path.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt::Write,
    time::Duration,
};

use figglade::{
    CustomerName,
    controller::quota::QuotaTally,
    filter::scatter::{AttemptEnd, AttemptKind},
};

/// The upper bounds of the latency histogram, in milliseconds.
const LATENCY_BOUNDS_MS: [u64; 12] = [5, 10, 20, 40, 60, 80, 120, 150, 250, 500, 1_000, 3_000];

/// Latencies of one outcome.
#[derive(Clone, Debug, Default)]
struct LatencyHistogram {
    buckets: [u64; LATENCY_BOUNDS_MS.len()],
    count: u64,
    sum_ms: f64,
}

impl LatencyHistogram {
    fn observe(&mut self, elapsed: Duration) {
        let millis = elapsed.as_millis() as u64;
        for (bucket, bound) in self.buckets.iter_mut().zip(LATENCY_BOUNDS_MS) {
            *bucket += u64::from(millis <= bound);
        }
        self.count += 1;
        self.sum_ms += elapsed.as_secs_f64() * 1_000.0;
    }
}

/// Counters and histograms of the data path, rendered as text on request.
#[derive(Debug, Default)]
pub struct RelayMetrics {
    requests: RefCell<BTreeMap<(&'static str, String), LatencyHistogram>>,
    attempts: RefCell<BTreeMap<String, u64>>,
    ends: RefCell<BTreeMap<String, u64>>,
    handovers: RefCell<BTreeMap<&'static str, u64>>,
    admissions: RefCell<BTreeMap<(&'static str, u32), u64>>,
    admission_level: Cell<f64>,
    load_wait: Cell<Duration>,
    running_work: Cell<Duration>,
    quotas: RefCell<QuotaTally>,
    missing_shards: Cell<u64>,
    backoffs: Cell<u64>,
    link_shortages: Cell<u64>,
    open_connections: Cell<usize>,
    made_connections: Cell<u64>,
    evacuated_zones: Cell<usize>,
}

impl RelayMetrics {
    /// Counts the end of a request of one kind, such as a search.
    pub(super) fn count_request(
        &self,
        kind: &'static str,
        outcome: &str,
        missing: usize,
        elapsed: Duration,
    ) {
        let key = (kind, outcome.to_owned());
        self.requests.borrow_mut().entry(key).or_default().observe(elapsed);
        self.missing_shards.update(|count| count + missing as u64);
    }

    pub(super) fn count_attempt(&self, kind: AttemptKind) {
        *self.attempts.borrow_mut().entry(kind.to_string()).or_default() += 1;
    }

    pub(super) fn count_attempt_end(&self, end: AttemptEnd) {
        *self.ends.borrow_mut().entry(end.to_string()).or_default() += 1;
    }

    /// Counts the result of an attempt to hand a search over to an aggregator.
    pub(super) fn count_handover(&self, end: &'static str) {
        *self.handovers.borrow_mut().entry(end).or_default() += 1;
    }

    /// Counts a decision of the admission by load.
    pub(super) fn count_admission(&self, decision: &'static str, priority: u32) {
        *self.admissions.borrow_mut().entry((decision, priority)).or_default() += 1;
    }

    /// Records the fraction of the work that is admitted, how long new work waits, and the work in
    /// progress.
    pub(super) fn record_load(&self, level: f64, wait: Duration, running: Duration) {
        self.admission_level.set(level);
        self.load_wait.set(wait);
        self.running_work.set(running);
    }

    /// Counts a request that used a token of its customer's quota, or was refused for want of one.
    pub(super) fn count_quota(&self, customer: &CustomerName, is_spent: bool) {
        let mut quotas = self.quotas.borrow_mut();
        let tally = quotas.entry(customer);
        if is_spent {
            tally.spent += 1;
        } else {
            tally.refused += 1;
        }
    }

    /// Forgets the counts of customers without a quota.
    pub(super) fn retain_quotas(&self, is_kept: impl Fn(&CustomerName) -> bool) {
        self.quotas.borrow_mut().retain(is_kept);
    }

    /// Counts a target that asked to be sent nothing for a while.
    pub(super) fn count_backoff(&self) {
        self.backoffs.update(|count| count + 1);
    }

    /// Counts an attempt for which there was no place for a connection.
    pub(super) fn count_link_shortage(&self) {
        self.link_shortages.update(|count| count + 1);
    }

    pub(super) fn record_connections(&self, open: usize, made: u64) {
        self.open_connections.set(open);
        self.made_connections.set(made);
    }

    pub(super) fn record_evacuated_zones(&self, zones: usize) {
        self.evacuated_zones.set(zones);
    }

    /// Writes the metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut out = String::new();
        // Writing to a string does not fail.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        writeln!(
            out,
            "# HELP figglade_relay_request_milliseconds Time from a request to its end."
        )?;
        writeln!(out, "# TYPE figglade_relay_request_milliseconds histogram")?;
        for ((kind, outcome), histogram) in self.requests.borrow().iter() {
            let labels = format!("kind=\"{kind}\",outcome=\"{outcome}\"");
            let name = "figglade_relay_request_milliseconds";
            for (bucket, bound) in histogram.buckets.iter().zip(LATENCY_BOUNDS_MS) {
                writeln!(out, "{name}_bucket{{{labels},le=\"{bound}\"}} {bucket}")?;
            }
            writeln!(out, "{name}_bucket{{{labels},le=\"+Inf\"}} {}", histogram.count)?;
            writeln!(out, "{name}_sum{{{labels}}} {}", histogram.sum_ms)?;
            writeln!(out, "{name}_count{{{labels}}} {}", histogram.count)?;
        }
        writeln!(out, "# HELP figglade_relay_attempts_total Attempts sent to targets.")?;
        writeln!(out, "# TYPE figglade_relay_attempts_total counter")?;
        for (kind, count) in self.attempts.borrow().iter() {
            writeln!(out, "figglade_relay_attempts_total{{kind=\"{kind}\"}} {count}")?;
        }
        writeln!(out, "# HELP figglade_relay_attempt_ends_total Ends of attempts.")?;
        writeln!(out, "# TYPE figglade_relay_attempt_ends_total counter")?;
        for (end, count) in self.ends.borrow().iter() {
            writeln!(out, "figglade_relay_attempt_ends_total{{end=\"{end}\"}} {count}")?;
        }
        writeln!(out, "# HELP figglade_relay_handovers_total Searches handed to aggregators.")?;
        writeln!(out, "# TYPE figglade_relay_handovers_total counter")?;
        for (end, count) in self.handovers.borrow().iter() {
            writeln!(out, "figglade_relay_handovers_total{{end=\"{end}\"}} {count}")?;
        }
        writeln!(out, "# HELP figglade_relay_admissions_total Decisions on requests by load.")?;
        writeln!(out, "# TYPE figglade_relay_admissions_total counter")?;
        for ((decision, priority), count) in self.admissions.borrow().iter() {
            let labels = format!("decision=\"{decision}\",priority=\"{priority}\"");
            writeln!(out, "figglade_relay_admissions_total{{{labels}}} {count}")?;
        }
        writeln!(
            out,
            "# HELP figglade_relay_quota_requests_total Requests under the quotas of the largest \
             customers."
        )?;
        writeln!(out, "# TYPE figglade_relay_quota_requests_total counter")?;
        for (customer, tally) in self.quotas.borrow().report() {
            for (end, count) in [("spent", tally.spent), ("refused", tally.refused)] {
                let name = "figglade_relay_quota_requests_total";
                writeln!(out, "{name}{{customer=\"{customer}\",end=\"{end}\"}} {count}")?;
            }
        }
        let gauges = [
            (
                "admission_level_percent",
                "gauge",
                "Part of the offered work that is admitted.",
                (self.admission_level.get() * 100.0).round() as u64,
            ),
            (
                "load_wait_microseconds",
                "gauge",
                "Time that new work waits for the thread of the instance.",
                self.load_wait.get().as_micros() as u64,
            ),
            (
                "running_work_microseconds",
                "gauge",
                "Time of the thread that the requests in progress take.",
                self.running_work.get().as_micros() as u64,
            ),
            (
                "missing_shards_total",
                "counter",
                "Shards missing from answers.",
                self.missing_shards.get(),
            ),
            (
                "target_backoffs_total",
                "counter",
                "Back-offs that targets asked for.",
                self.backoffs.get(),
            ),
            (
                "open_connections",
                "gauge",
                "Connections to targets.",
                self.open_connections.get() as u64,
            ),
            (
                "link_shortages_total",
                "counter",
                "Attempts without a place for a connection to a target.",
                self.link_shortages.get(),
            ),
            (
                "made_connections_total",
                "counter",
                "Connections made to targets.",
                self.made_connections.get(),
            ),
            (
                "evacuated_zones",
                "gauge",
                "Availability zones that are evacuated.",
                self.evacuated_zones.get() as u64,
            ),
        ];
        for (name, kind, help, value) in gauges {
            writeln!(out, "# HELP figglade_relay_{name} {help}")?;
            writeln!(out, "# TYPE figglade_relay_{name} {kind}")?;
            writeln!(out, "figglade_relay_{name} {value}")?;
        }
        Ok(())
    }
}
