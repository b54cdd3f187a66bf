//! Generates open-loop load: queries start at precomputed times, independent of earlier queries.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{sync::mpsc, task::JoinSet};

use crate::runner::{QueryEnd, QueryRunner};

/// The maximum latency that is recorded, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 120_000_000;

/// The number of significant digits of a recorded latency.
const LATENCY_DIGITS: u8 = 3;

/// The rate and duration of the arrivals of queries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ArrivalPlan {
    /// The mean rate, in queries per second.
    pub rate: f64,
    /// The time under load before queries are measured.
    pub warm_up: Duration,
    /// The time in which queries are measured.
    pub measured: Duration,
    /// The seed of the arrival times.
    pub seed: u64,
}

impl ArrivalPlan {
    /// Draws the arrival times of a Poisson process, as offsets from the start.
    pub fn draw_arrivals(&self) -> Vec<Duration> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let end = (self.warm_up + self.measured).as_secs_f64();
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            let uniform: f64 = rng.random();
            at -= (1.0 - uniform).ln() / self.rate;
            if at >= end {
                return arrivals;
            }
            arrivals.push(Duration::from_secs_f64(at));
        }
    }
}

/// The measurements of one run.
#[derive(Debug)]
pub struct LoadResult {
    /// The latency of answered queries from their planned start, in microseconds.
    pub answered: Histogram<u64>,
    /// The latency of refusals from their planned start, in microseconds.
    pub refused: Histogram<u64>,
    /// The queries that failed.
    pub failed: u64,
    /// The answers that covered every document.
    pub complete: u64,
    /// The sum of the coverage of all queries that were not refused.
    pub coverage_sum: f64,
    /// The smallest coverage of a query that was not refused.
    pub coverage_min: f64,
    /// The queries that were not refused, including those of the warm-up.
    pub admitted: u64,
    /// The longest delay between the planned and the actual start of a query, in microseconds.
    pub max_lag_us: u64,
}

impl LoadResult {
    /// Creates an empty result.
    ///
    /// # Panics
    ///
    /// Panics when the constants of the histogram are out of its range.
    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS)
                .expect("the bounds of the histogram are in range")
        };
        Self {
            answered: histogram(),
            refused: histogram(),
            failed: 0,
            complete: 0,
            coverage_sum: 0.0,
            coverage_min: 1.0,
            admitted: 0,
            max_lag_us: 0,
        }
    }

    /// Records a finished query; those of the warm-up only count as admitted.
    fn add(&mut self, end: FinishedQuery) {
        self.admitted += u64::from(end.end != QueryEnd::Refused);
        if !end.measured {
            return;
        }
        self.max_lag_us = self.max_lag_us.max(end.lag.as_micros() as u64);
        let micros = (end.latency.as_micros() as u64).min(MAX_LATENCY_US);
        match end.end {
            QueryEnd::Answered { coverage } => {
                self.answered.saturating_record(micros);
                self.complete += u64::from(coverage >= 1.0);
                self.add_coverage(coverage);
            }
            QueryEnd::Refused => self.refused.saturating_record(micros),
            QueryEnd::Failed => {
                self.failed += 1;
                self.add_coverage(0.0);
            }
        }
    }

    /// Adds the coverage of one query.
    fn add_coverage(&mut self, coverage: f64) {
        self.coverage_sum += coverage;
        self.coverage_min = self.coverage_min.min(coverage);
    }

    /// Returns the mean coverage of the queries that were not refused.
    pub fn coverage_mean(&self) -> f64 {
        let queries = self.answered.len() + self.failed;
        if queries == 0 { 0.0 } else { self.coverage_sum / queries as f64 }
    }
}

/// A finished query.
struct FinishedQuery {
    end: QueryEnd,
    latency: Duration,
    lag: Duration,
    measured: bool,
}

/// Starts a query at each planned time and waits until all have finished.
pub async fn run_load(plan: ArrivalPlan, runner: Arc<dyn QueryRunner>) -> LoadResult {
    let start = Instant::now();
    let mut arrivals = spawn_arrivals(plan.draw_arrivals(), start);
    let mut running = JoinSet::new();
    let mut result = LoadResult::new();
    let mut number = 0;
    loop {
        tokio::select! {
            arrival = arrivals.recv() => {
                let Some(planned) = arrival else { break };
                let measured = planned.duration_since(start) >= plan.warm_up;
                running.spawn(run_one(Arc::clone(&runner), number, planned, measured));
                number += 1;
            }
            Some(Ok(end)) = running.join_next() => result.add(end),
        }
    }
    while let Some(end) = running.join_next().await {
        if let Ok(end) = end {
            result.add(end);
        }
    }
    result
}

/// Sends each planned time through the channel when it is due.
///
/// Uses a dedicated thread, which sleeps more precisely than the timer of the runtime.
fn spawn_arrivals(offsets: Vec<Duration>, start: Instant) -> mpsc::UnboundedReceiver<Instant> {
    let (sender, receiver) = mpsc::unbounded_channel();
    thread::spawn(move || {
        for offset in offsets {
            let planned = start + offset;
            thread::sleep(planned.saturating_duration_since(Instant::now()));
            if sender.send(planned).is_err() {
                return;
            }
        }
    });
    receiver
}

/// Runs one query and measures its latency from the planned start.
async fn run_one(
    runner: Arc<dyn QueryRunner>,
    number: u64,
    planned: Instant,
    measured: bool,
) -> FinishedQuery {
    let lag = planned.elapsed();
    let end = runner.run_query(number).await;
    FinishedQuery { end, latency: planned.elapsed(), lag, measured }
}
