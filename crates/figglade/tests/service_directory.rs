//! The targets of services: order of reports, ends that stay, addresses that are used again.

use std::time::Duration;

use figglade::{
    Incarnation, InstanceId, Timestamp,
    controller::service_directory::{
        ReportTracker, ServiceDirectory, TargetPhase, TargetRecord, TargetReport,
    },
};

const PERIOD: Duration = Duration::from_millis(1_200);

fn report(id: &str, born: u64, sequence: u64) -> TargetReport {
    TargetReport {
        id: id.parse().unwrap(),
        service: "desk".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 3,
        incarnation: Incarnation::new(born),
        sequence,
        phase: TargetPhase::Ready,
        warmup_ms: 0,
    }
}

fn hub(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// One hub with its directory.
struct Hub {
    book: ReportTracker,
    directory: ServiceDirectory,
}

impl Hub {
    fn new(name: &str) -> Self {
        Self { book: ReportTracker::new(hub(name), PERIOD), directory: ServiceDirectory::default() }
    }

    fn take(&mut self, report: &TargetReport, now: Timestamp) -> Vec<TargetRecord> {
        self.book.handle_report(report, &mut self.directory, now).changed
    }

    fn phase(&self, id: &str) -> Option<TargetPhase> {
        self.directory.get(&id.parse().unwrap()).map(|record| record.phase)
    }
}

#[test]
fn an_unchanged_report_is_no_news() {
    let mut hub = Hub::new("h1");
    assert_eq!(hub.take(&report("t", 1, 1), at(0)).len(), 1);
    assert!(hub.take(&report("t", 1, 2), at(1_200)).is_empty());
}

#[test]
fn a_late_report_does_not_undo_a_drain() {
    let mut hub = Hub::new("h1");
    hub.take(&report("t", 1, 1), at(0));
    let draining = TargetReport { phase: TargetPhase::Draining, ..report("t", 1, 5) };
    let outcome = hub.book.handle_report(&draining, &mut hub.directory, at(100));
    assert!(outcome.must_replicate);
    assert!(hub.take(&report("t", 1, 4), at(200)).is_empty());
    assert!(hub.take(&report("t", 1, 6), at(300)).is_empty(), "one life drains once");
    assert_eq!(hub.phase("t"), Some(TargetPhase::Draining));
}

#[test]
fn a_resent_drain_is_replicated_again() {
    let mut hub = Hub::new("h1");
    hub.take(&report("t", 1, 1), at(0));
    let draining = TargetReport { phase: TargetPhase::Draining, ..report("t", 1, 5) };
    hub.book.handle_report(&draining, &mut hub.directory, at(100));
    let again = hub.book.handle_report(&draining, &mut hub.directory, at(900));
    assert!(again.must_replicate, "the first try may have reached nobody");
    assert_eq!(again.changed.len(), 1);
}

#[test]
fn a_target_that_left_stays_away_until_it_starts_again() {
    let mut hub = Hub::new("h1");
    hub.take(&report("t", 1, 1), at(0));
    let left = hub.book.handle_leave(&"t".parse().unwrap(), &mut hub.directory, at(10));
    assert!(left.must_replicate);
    assert!(hub.take(&report("t", 1, 9), at(20)).is_empty());
    assert_eq!(hub.phase("t"), Some(TargetPhase::Gone));
    assert_eq!(hub.take(&report("t", 2, 1), at(30)).len(), 1, "a new life under the same id");
    assert_eq!(hub.phase("t"), Some(TargetPhase::Ready));
}

#[test]
fn a_younger_target_takes_over_the_address() {
    let mut hub = Hub::new("h1");
    hub.take(&report("old", 10, 50), at(0));
    let changed = hub.take(&report("new", 20, 1), at(5_000));
    assert_eq!(changed.len(), 2);
    assert_eq!(hub.phase("old"), Some(TargetPhase::Gone));
    // A report of the dead target that a cut held back.
    assert!(hub.take(&report("old", 10, 51), at(6_000)).is_empty());
    assert_eq!(hub.phase("new"), Some(TargetPhase::Ready));
}

#[test]
fn a_late_report_of_an_unknown_dead_target_does_not_take_the_address_back() {
    let mut hub = Hub::new("h1");
    hub.take(&report("new", 20, 1), at(0));
    hub.take(&report("old", 10, 51), at(1_000));
    assert_eq!(hub.phase("new"), Some(TargetPhase::Ready));
    assert_eq!(hub.phase("old"), Some(TargetPhase::Gone));
}

#[test]
fn directories_agree_in_whatever_order_records_arrive() {
    arbtest::arbtest(|u| {
        let count = u.int_in_range(1..=6)?;
        let mut records = Vec::new();
        for _ in 0..count {
            let id = ["a", "b", "c"][u.int_in_range(0..=2)?];
            let phase = [TargetPhase::Ready, TargetPhase::Draining, TargetPhase::Gone];
            let mut record = TargetRecord::from_report(
                &report(id, u.int_in_range(1..=3)?, u.int_in_range(1..=4)?),
                hub("h1"),
            );
            record.phase = phase[u.int_in_range(0..=2)?];
            record.is_lapsed = u.ratio(1, 4)?;
            record.address = format!("10.0.0.{}:80", id.as_bytes()[0]).parse().unwrap();
            records.push(record);
        }
        let mut forward = ServiceDirectory::default();
        let mut backward = ServiceDirectory::default();
        for record in &records {
            forward.merge(record.clone(), at(0));
        }
        for record in records.iter().rev() {
            backward.merge(record.clone(), at(0));
        }
        assert_eq!(forward.digest(), backward.digest(), "{records:?}");
        Ok(())
    });
}

#[test]
fn silence_lapses_and_a_report_brings_back() {
    let mut hub = Hub::new("h1");
    hub.take(&report("t", 1, 1), at(0));
    let lapsed = hub.book.mark_lapsed(&mut hub.directory, |_| true, at(3_000));
    assert!(lapsed.is_empty(), "a report may be seconds late");
    let lapsed = hub.book.mark_lapsed(&mut hub.directory, |_| true, at(5_000));
    assert!(lapsed.iter().all(|record| record.is_lapsed) && lapsed.len() == 1);
    assert_eq!(hub.phase("t"), Some(TargetPhase::Ready), "it may still answer");
    let back = hub.take(&report("t", 1, 2), at(5_100));
    assert!(back.iter().all(|record| !record.is_lapsed) && back.len() == 1);
}

#[test]
fn a_target_that_stays_lapsed_ends() {
    let mut hub = Hub::new("h1");
    hub.take(&report("t", 1, 1), at(0));
    hub.book.mark_lapsed(&mut hub.directory, |_| true, at(5_000));
    hub.book.mark_lapsed(&mut hub.directory, |_| true, at(6_000));
    assert_eq!(hub.phase("t"), Some(TargetPhase::Ready));
    hub.book.mark_lapsed(&mut hub.directory, |_| true, at(70_000));
    assert_eq!(hub.phase("t"), Some(TargetPhase::Gone));
}

#[test]
fn a_recalled_record_gives_way_to_everyone_who_heard_since() {
    let recalled = TargetRecord {
        sequence: 0,
        is_lapsed: true,
        ..TargetRecord::from_report(&report("t", 7, 9), hub("h1"))
    };
    let mut other = Hub::new("h2");
    other.take(&report("t", 7, 9), at(0));
    assert!(other.directory.merge(recalled.clone(), at(10)).is_empty());
    let mut own = Hub::new("h1");
    own.directory.merge(recalled, at(0));
    assert!(!own.take(&report("t", 7, 10), at(10)).is_empty());
    let record = own.directory.get(&"t".parse().unwrap()).unwrap();
    assert!(!record.is_lapsed);
}

#[test]
fn targets_of_a_hub_that_is_not_heard_lapse_later() {
    let mut own = Hub::new("h1");
    let record = TargetRecord::from_report(&report("t", 1, 1), hub("h2"));
    own.directory.merge(record, at(0));
    assert!(own.book.mark_lapsed(&mut own.directory, |_| true, at(60_000)).is_empty());
    assert!(own.book.mark_lapsed(&mut own.directory, |_| false, at(61_000)).is_empty());
    assert!(own.book.mark_lapsed(&mut own.directory, |_| false, at(66_000)).is_empty());
    assert_eq!(own.book.mark_lapsed(&mut own.directory, |_| false, at(70_000)).len(), 1);
}

#[test]
fn who_takes_the_reports_is_no_difference_to_instances() {
    let mut one = ServiceDirectory::default();
    let mut other = ServiceDirectory::default();
    one.merge(TargetRecord::from_report(&report("t", 1, 1), hub("h1")), at(0));
    other.merge(TargetRecord::from_report(&report("t", 1, 4), hub("h2")), at(0));
    assert_eq!(one.digest(), other.digest());
}

#[test]
fn ends_are_forgotten_in_the_end() {
    let mut hub = Hub::new("h1");
    hub.take(&report("t", 1, 1), at(0));
    hub.book.handle_leave(&"t".parse().unwrap(), &mut hub.directory, at(10));
    hub.directory.purge_gone(at(60_000));
    assert_eq!(hub.directory.records().count(), 1);
    hub.directory.purge_gone(at(200_000));
    assert_eq!(hub.directory.records().count(), 0);
}
