//! Handles the reports that a control instance receives and detects targets whose reports stopped.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    Incarnation, InstanceId, ServiceName, TargetId, Timestamp, ZoneName,
    controller::service_directory::{ServiceDirectory, TargetRecord},
};

/// The number of report periods without a report after which a target lapses. It allows for reports
/// that are delayed by seconds.
const MISSED_REPORTS: f64 = 3.5;
/// The number of lapse periods for which another control instance must be unreachable before the
/// targets that report to it lapse; their reports may still arrive there.
const UNREACHABLE_FACTOR: u32 = 2;

/// How much later than known a warm-up has to end for its report to count as a change. Delays of the
/// reports shift the end by less.
const WARM_UP_TOLERANCE: Duration = Duration::from_millis(500);

/// How long a target stays lapsed before it is considered gone.
const LAPSED_TIMEOUT: Duration = Duration::from_secs(60);

/// Which requests a target accepts.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum TargetPhase {
    /// It accepts new requests.
    Ready,
    /// It accepts no new requests and completes those in flight.
    Draining,
    /// It has stopped.
    Gone,
}

/// The report of a target on its own state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// The target.
    pub id: TargetId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The requests it runs at a time.
    pub slots: u32,
    /// The start of the target; a higher incarnation replaces a lower one.
    pub incarnation: Incarnation,
    /// The number of the report; it increases with each report of one incarnation.
    pub sequence: u64,
    /// Which requests it accepts.
    pub phase: TargetPhase,
    /// The remaining warm-up time, in milliseconds.
    pub warmup_ms: u32,
}

/// The message of a target that it leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLeave {
    /// The target.
    pub id: TargetId,
    /// The start of the target that leaves; `None` if the message does not say.
    pub incarnation: Option<Incarnation>,
}

/// The effect of a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportOutcome {
    /// The records to send to the other instances; empty if the report changed nothing.
    pub changed: Vec<TargetRecord>,
    /// Whether a target stopped accepting requests: other control instances must have the records
    /// before the report is acknowledged.
    pub must_replicate: bool,
}

#[derive(Clone, Copy, Debug)]
struct LastReport {
    at: Timestamp,
    sequence: u64,
    /// The end of the warm-up; in the past if the target is warm.
    warm_until: Timestamp,
}

/// Tracks the reports that one control instance receives.
#[derive(Clone, Debug)]
pub struct ReportTracker {
    own: InstanceId,
    lapse_period: Duration,
    /// The last report of each target for each service.
    last_reports: HashMap<(TargetId, ServiceName), LastReport>,
    /// When a holder was first seen as unreachable.
    unreachable_since: HashMap<InstanceId, Timestamp>,
    /// When a target was first seen as lapsed.
    lapsed_since: HashMap<(TargetId, ServiceName), Timestamp>,
}

impl ReportTracker {
    /// Creates a tracker without reports; targets report once per `report_period`.
    pub fn new(own: InstanceId, report_period: Duration) -> Self {
        let lapse_period = report_period.mul_f64(MISSED_REPORTS);
        Self {
            own,
            lapse_period,
            last_reports: HashMap::new(),
            unreachable_since: HashMap::new(),
            lapsed_since: HashMap::new(),
        }
    }

    /// Handles the report of a target and merges it into `directory`.
    pub fn handle_report(
        &mut self,
        report: &TargetReport,
        directory: &mut ServiceDirectory,
        now: Timestamp,
    ) -> ReportOutcome {
        let record = TargetRecord::from_report(report, self.own.clone());
        let held = directory.get_for(&report.id, &report.service);
        let is_late = held.is_some_and(|held| {
            held.incarnation > record.incarnation
                || held.incarnation == record.incarnation && held.sequence > record.sequence
        });
        let mut is_colder = false;
        if !is_late {
            let warm_until = now + Duration::from_millis(u64::from(report.warmup_ms));
            let last = LastReport { at: now, sequence: report.sequence, warm_until };
            let former =
                self.last_reports.insert((report.id.clone(), report.service.clone()), last);
            let known_until = former.map_or(Timestamp::ZERO, |former| former.warm_until).max(now);
            is_colder = warm_until > known_until + WARM_UP_TOLERANCE;
        }
        // The phase of a late report counts too: it may be the first to announce a drain.
        let is_changed = held.is_none_or(|held| {
            held.incarnation != record.incarnation
                || held.phase != record.phase
                || held.is_lapsed
                || held.holder != record.holder
                || held.address != record.address
                || is_colder
        });
        let mut changed = if is_changed { directory.merge(record, now) } else { Vec::new() };
        let must_replicate =
            report.phase != TargetPhase::Ready || changed.iter().any(|record| !record.is_usable());
        if must_replicate && changed.is_empty() {
            // The first attempt to replicate may have failed, so a resent report is replicated
            // again before it is acknowledged.
            changed.extend(directory.get_for(&report.id, &report.service).cloned());
        }
        ReportOutcome { changed, must_replicate }
    }

    /// Handles the message of a target that it leaves. A target whose reports have all been delayed
    /// is recorded as gone too, so that they do not bring it into use. The delayed message of an
    /// earlier start changes nothing.
    pub fn handle_leave(
        &mut self,
        leave: &TargetLeave,
        directory: &mut ServiceDirectory,
        now: Timestamp,
    ) -> ReportOutcome {
        let known: Vec<_> = directory.all_of(&leave.id).cloned().collect();
        if known.is_empty() {
            let incarnation = leave.incarnation.unwrap_or_default();
            let gone = TargetRecord::departed(leave.id.clone(), incarnation, self.own.clone());
            directory.merge(gone.clone(), now);
            return ReportOutcome { changed: vec![gone], must_replicate: true };
        }
        // Only one of several records may be that of the target; the others are of other writers.
        let mut changed = Vec::new();
        for held in known {
            let incarnation = leave.incarnation.unwrap_or(held.incarnation);
            let key = (held.id.clone(), held.service.clone());
            let gone = TargetRecord { phase: TargetPhase::Gone, incarnation, ..held };
            let merged = directory.merge(gone, now);
            let held = directory.all_of(&key.0).find(|record| record.service == key.1).cloned();
            if held.as_ref().is_some_and(|held| held.phase == TargetPhase::Gone) {
                self.last_reports.remove(&key);
            }
            if merged.is_empty() {
                changed.extend(held);
            }
            changed.extend(merged);
        }
        ReportOutcome { changed, must_replicate: true }
    }

    /// Marks the targets whose reports stopped as lapsed, and those lapsed for too long as gone;
    /// returns the changed records. `is_reachable` tells which control instances are reachable.
    pub fn mark_lapsed(
        &mut self,
        directory: &mut ServiceDirectory,
        is_reachable: impl Fn(&InstanceId) -> bool,
        now: Timestamp,
    ) -> Vec<TargetRecord> {
        self.unreachable_since.retain(|holder, _| !is_reachable(holder));
        self.last_reports.retain(|(id, service), _| {
            let held = directory.get_for(id, service);
            held.is_some_and(|record| record.phase != TargetPhase::Gone)
        });
        let live: Vec<_> = directory.live().filter(|record| !record.is_lapsed).cloned().collect();
        let mut lapsed = self.expire_lapsed(directory, now);
        for record in live {
            if self.is_overdue(&record, &is_reachable, now) {
                let key = (record.id.clone(), record.service.clone());
                let sequence = self.last_reports.get(&key).map_or(0, |last| last.sequence);
                let sequence = record.sequence.max(sequence);
                let marked = TargetRecord { is_lapsed: true, sequence, warmup_ms: 0, ..record };
                lapsed.extend(directory.merge(marked, now));
            }
        }
        lapsed
    }

    /// Marks targets that have been lapsed for [`LAPSED_TIMEOUT`] as gone.
    fn expire_lapsed(
        &mut self,
        directory: &mut ServiceDirectory,
        now: Timestamp,
    ) -> Vec<TargetRecord> {
        let lapsed: Vec<_> = directory.live().filter(|record| record.is_lapsed).cloned().collect();
        self.lapsed_since.retain(|(id, service), _| {
            lapsed.iter().any(|record| record.id == *id && record.service == *service)
        });
        let mut expired = Vec::new();
        for record in lapsed {
            let key = (record.id.clone(), record.service.clone());
            let since = *self.lapsed_since.entry(key).or_insert(now);
            if now.since(since) > LAPSED_TIMEOUT {
                let gone = TargetRecord { phase: TargetPhase::Gone, ..record };
                expired.extend(directory.merge(gone, now));
            }
        }
        expired
    }

    fn is_overdue(
        &mut self,
        record: &TargetRecord,
        is_reachable: &impl Fn(&InstanceId) -> bool,
        now: Timestamp,
    ) -> bool {
        if record.holder == self.own {
            // If this process has received no report yet, the lapse period starts now.
            let last = self.last_reports.entry((record.id.clone(), record.service.clone()));
            let last = last.or_insert(LastReport {
                at: now,
                sequence: record.sequence,
                warm_until: Timestamp::ZERO,
            });
            return now.since(last.at) > self.lapse_period;
        }
        if is_reachable(&record.holder) {
            return false;
        }
        let since = *self.unreachable_since.entry(record.holder.clone()).or_insert(now);
        now.since(since) > self.lapse_period * UNREACHABLE_FACTOR
    }
}
