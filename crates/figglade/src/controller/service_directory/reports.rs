//! Reports as a control instance takes them, and targets whose reports stopped.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    Incarnation, InstanceId, ServiceName, TargetId, Timestamp, ZoneName,
    controller::service_directory::{ServiceDirectory, TargetRecord},
};

/// The reports that a target may miss before it counts as lapsed; a report may be seconds late.
const MISSED_REPORTS: f64 = 3.5;
/// The factor on that time where another instance took the reports and is not heard from: they may
/// still arrive there.
const UNHEARD_FACTOR: u32 = 2;

/// How long a target stays lapsed before it counts as gone.
const LAPSED_FOR: Duration = Duration::from_secs(60);

/// What a target takes.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum TargetPhase {
    /// New requests.
    Ready,
    /// No new requests; it finishes those it has.
    Draining,
    /// Nothing any more.
    Gone,
}

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// The target.
    pub id: TargetId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The requests it runs at a time.
    pub slots: u32,
    /// When it started.
    pub incarnation: Incarnation,
    /// Rises with each report of one life.
    pub sequence: u64,
    /// What it takes.
    pub phase: TargetPhase,
    /// How much longer it is slow after its start, in milliseconds.
    pub warmup_ms: u32,
}

/// What a report changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportOutcome {
    /// The records to spread; empty where the report brought nothing new.
    pub changed: Vec<TargetRecord>,
    /// Whether a target stopped taking requests: other control instances must know before the
    /// report is acknowledged.
    pub must_replicate: bool,
}

#[derive(Clone, Copy, Debug)]
struct LastReport {
    at: Timestamp,
    sequence: u64,
}

/// Follows the reports that one control instance takes.
#[derive(Clone, Debug)]
pub struct ReportTracker {
    own: InstanceId,
    lapse_period: Duration,
    last: HashMap<TargetId, LastReport>,
    /// When the silence of a holder that is not heard from was first seen.
    unheard: HashMap<InstanceId, Timestamp>,
    /// When a target was first seen as lapsed.
    lapsed: HashMap<TargetId, Timestamp>,
}

impl ReportTracker {
    /// Starts without reports; targets report each `report_period`.
    pub fn new(own: InstanceId, report_period: Duration) -> Self {
        let lapse_period = report_period.mul_f64(MISSED_REPORTS);
        Self {
            own,
            lapse_period,
            last: HashMap::new(),
            unheard: HashMap::new(),
            lapsed: HashMap::new(),
        }
    }

    /// Takes a report.
    pub fn handle_report(
        &mut self,
        report: &TargetReport,
        directory: &mut ServiceDirectory,
        now: Timestamp,
    ) -> ReportOutcome {
        let record = TargetRecord::from_report(report, self.own.clone());
        let held = directory.get(&report.id);
        let is_late = held.is_some_and(|held| {
            held.incarnation > record.incarnation
                || held.incarnation == record.incarnation && held.sequence > record.sequence
        });
        if !is_late {
            self.last.insert(report.id.clone(), LastReport { at: now, sequence: report.sequence });
        }
        // A late report of a target that drains still says so.
        let is_news = held.is_none_or(|held| {
            held.incarnation != record.incarnation
                || held.phase != record.phase
                || held.is_lapsed
                || held.holder != record.holder
                || held.address != record.address
        });
        let mut changed = if is_news { directory.merge(record, now) } else { Vec::new() };
        let must_replicate =
            report.phase != TargetPhase::Ready || changed.iter().any(|record| !record.is_usable());
        if must_replicate && changed.is_empty() {
            // A resend must not be acknowledged on the strength of a first try that failed.
            changed.extend(directory.get(&report.id).cloned());
        }
        ReportOutcome { changed, must_replicate }
    }

    /// Takes the word of a target that it leaves.
    pub fn handle_leave(
        &mut self,
        id: &TargetId,
        directory: &mut ServiceDirectory,
        now: Timestamp,
    ) -> ReportOutcome {
        self.last.remove(id);
        let Some(held) = directory.get(id) else {
            return ReportOutcome { changed: Vec::new(), must_replicate: true };
        };
        let ended = TargetRecord { phase: TargetPhase::Gone, ..held.clone() };
        let mut changed = directory.merge(ended.clone(), now);
        if changed.is_empty() {
            changed.push(ended);
        }
        ReportOutcome { changed, must_replicate: true }
    }

    /// Marks the targets whose reports stopped and returns their records. `is_heard` tells which
    /// control instances are heard from.
    pub fn mark_lapsed(
        &mut self,
        directory: &mut ServiceDirectory,
        is_heard: impl Fn(&InstanceId) -> bool,
        now: Timestamp,
    ) -> Vec<TargetRecord> {
        self.unheard.retain(|holder, _| !is_heard(holder));
        let live: Vec<_> = directory.live().filter(|record| !record.is_lapsed).cloned().collect();
        let mut lapsed = self.end_lapsed(directory, now);
        for record in live {
            if self.is_silent(&record, &is_heard, now) {
                let sequence = self.last.get(&record.id).map_or(0, |last| last.sequence);
                let sequence = record.sequence.max(sequence);
                let marked = TargetRecord { is_lapsed: true, sequence, ..record };
                lapsed.extend(directory.merge(marked, now));
            }
        }
        lapsed
    }

    /// Ends the targets that have been lapsed for long.
    fn end_lapsed(
        &mut self,
        directory: &mut ServiceDirectory,
        now: Timestamp,
    ) -> Vec<TargetRecord> {
        let lapsed: Vec<_> = directory.live().filter(|record| record.is_lapsed).cloned().collect();
        self.lapsed.retain(|id, _| lapsed.iter().any(|record| record.id == *id));
        let mut ended = Vec::new();
        for record in lapsed {
            let since = *self.lapsed.entry(record.id.clone()).or_insert(now);
            if now.since(since) > LAPSED_FOR {
                let gone = TargetRecord { phase: TargetPhase::Gone, ..record };
                ended.extend(directory.merge(gone, now));
            }
        }
        ended
    }

    fn is_silent(
        &mut self,
        record: &TargetRecord,
        is_heard: &impl Fn(&InstanceId) -> bool,
        now: Timestamp,
    ) -> bool {
        if record.holder == self.own {
            // Without a report since the start of this process, the silence starts now.
            let last = self.last.entry(record.id.clone());
            let last = last.or_insert(LastReport { at: now, sequence: record.sequence });
            return now.since(last.at) > self.lapse_period;
        }
        if is_heard(&record.holder) {
            return false;
        }
        let since = *self.unheard.entry(record.holder.clone()).or_insert(now);
        now.since(since) > self.lapse_period * UNHEARD_FACTOR
    }
}
