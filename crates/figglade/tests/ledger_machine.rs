//! The ledger as a state machine: encoding, order, snapshots and random command sequences.

#[allow(dead_code, reason = "the helpers serve several test files")]
mod ledger_common;

use std::collections::{BTreeMap, BTreeSet};

use arbtest::{
    arbitrary::{self, Unstructured},
    arbtest,
};
use bytes::Bytes;
use figglade::{
    RequestId,
    border::{ActionRecord, ClaimDecision},
    controller::{
        ledger::{
            COMMAND_VERSION, CommandError, ConfigOutcome, Ledger, LedgerCommand, LedgerError,
            LedgerReply, MAX_CLOCK_SKEW_MS, ManifestReport, STATE_VERSION, SnapshotKey, StateError,
        },
        share::{HolderSet, ShareEpoch},
    },
    peer::encode_payload,
    wire::ActionOutcome::{self, Done, NotRun, Unknown},
};
use ledger_common::{TestLedger, record, request, wall};
use serde::Serialize;
use serde_json::json;

/// A command envelope as a newer release would encode it.
#[derive(Serialize)]
struct NewerEnvelope {
    version: u16,
    command: Bytes,
}

/// Builds a command that sets the holders.
fn holders(epoch: u64, names: &[&str]) -> LedgerCommand {
    let holders = names.iter().map(|name| name.parse().unwrap()).collect();
    LedgerCommand::SetHolders(HolderSet {
        epoch: ShareEpoch::new(epoch),
        holders,
        ..HolderSet::default()
    })
}

#[test]
fn unreadable_command_stops_the_ledger() {
    let newer = NewerEnvelope { version: COMMAND_VERSION + 1, command: Bytes::new() };
    let unknown = NewerEnvelope {
        version: COMMAND_VERSION,
        command: encode_payload(&json!({"SplitGroup": {"group": 1}})).unwrap(),
    };
    let commands = [
        encode_payload(&newer).unwrap(),
        encode_payload(&unknown).unwrap(),
        Bytes::from_static(b"\xc1"),
        Bytes::new(),
    ];
    for command in commands {
        assert!(LedgerCommand::decode(&command).is_err());
        let mut ledger = Ledger::default();
        let good = holders(1, &["i1"]).encode().unwrap();
        assert!(ledger.apply(1.into(), &good).is_ok());
        let error = ledger.apply(2.into(), &command).unwrap_err();
        assert!(matches!(error, LedgerError::Unreadable { index, .. } if index.get() == 2));
        let error = ledger.apply(3.into(), &good).unwrap_err();
        assert_eq!(error, LedgerError::Stopped { index: 2.into() });
        assert_eq!(ledger.applied().get(), 1);
    }
    let too_new = LedgerCommand::decode(&encode_payload(&newer).unwrap());
    assert_eq!(too_new, Err(CommandError::TooNew { version: COMMAND_VERSION + 1 }));
}

#[test]
fn command_out_of_order_stops_the_ledger() {
    let mut ledger = Ledger::default();
    let command = holders(1, &["i1"]).encode().unwrap();
    ledger.apply(5.into(), &command).unwrap();
    let error = ledger.apply(5.into(), &command).unwrap_err();
    assert_eq!(error, LedgerError::OutOfOrder { index: 5.into(), applied: 5.into() });
    assert!(ledger.apply(6.into(), &command).is_err());
}

#[test]
fn state_of_a_newer_release_is_refused() {
    let mut newer = Ledger::default().encode_state().unwrap().to_vec();
    newer[..2].copy_from_slice(&(STATE_VERSION + 1).to_be_bytes());
    let error = Ledger::decode_state(&newer).unwrap_err();
    assert_eq!(error, StateError::TooNew { version: STATE_VERSION + 1 });
    let state = Ledger::default().encode_state().unwrap();
    for end in 0..state.len() {
        assert!(matches!(Ledger::decode_state(&state[..end]), Err(StateError::Codec { .. })));
    }
}

#[test]
fn holders_change_only_with_the_next_epoch() {
    let mut ledger = TestLedger::default();
    let accepted = |accepted, epoch| LedgerReply::Holders { accepted, epoch };
    assert_eq!(ledger.apply(&holders(2, &["i1"])), accepted(false, 0));
    assert_eq!(ledger.apply(&holders(1, &["i1"])), accepted(true, 1));
    assert_eq!(ledger.apply(&holders(2, &["i1", "i2"])), accepted(true, 2));
    assert_eq!(ledger.apply(&holders(2, &["i3"])), accepted(false, 2));
    assert_eq!(ledger.apply(&holders(1, &["i3"])), accepted(false, 2));
    assert_eq!(ledger.ledger.holders().holders.len(), 2);
    assert_eq!(ledger.apply(&holders(3, &[])), accepted(true, 3));
}

#[test]
fn wall_time_far_from_the_leader_is_implausible() {
    let mut ledger = TestLedger::default();
    let command = LedgerCommand::AbandonClaims(figglade::controller::ledger::ClaimAbandon {
        instance: "i1".parse().unwrap(),
        before_incarnation: 1.into(),
        wall: wall(0),
    });
    let skew = MAX_CLOCK_SKEW_MS as i64;
    for (leader, expected) in [(skew, true), (-skew, true), (skew + 1, false), (-skew - 1, false)] {
        assert_eq!(command.has_plausible_wall(wall(leader)), expected);
    }
    assert!(holders(1, &[]).has_plausible_wall(wall(0)));
    ledger.apply(&command);
    assert_eq!(ledger.ledger.clock(), wall(0));
}

/// The number of random schedules.
const SCHEDULES: u64 = 300;
/// The number of random bytes that a schedule is drawn from.
const SCHEDULE_BYTES: u64 = 2_048;
/// The number of steps in a schedule.
const STEPS: usize = 120;

/// The replies seen so far in a schedule, which later replies must not contradict.
#[derive(Default)]
struct Observed {
    granted: BTreeSet<RequestId>,
    ended: BTreeMap<RequestId, ActionOutcome>,
    outcomes: BTreeMap<String, (u32, ConfigOutcome)>,
    version: u64,
    now: i64,
}

#[test]
fn random_schedules_keep_the_invariants() {
    for schedule in 0..SCHEDULES {
        arbtest(run_schedule).seed(schedule << 32 | SCHEDULE_BYTES).run();
    }
}

/// Applies random commands to a ledger that is restarted from its snapshot now and then.
fn run_schedule(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let mut ledger = TestLedger::default();
    let mut observed = Observed::default();
    for _ in 0..STEPS {
        let clock = ledger.ledger.clock();
        observed.now += u.int_in_range(-5_000..=60_000)?;
        match u.int_in_range(0..=9)? {
            0..=3 => step_begin(u, &mut ledger, &mut observed)?,
            4 => step_finish(u, &mut ledger, &mut observed)?,
            5 => step_refuse(u, &mut ledger, &mut observed)?,
            6 => step_abandon(u, &mut ledger, &mut observed)?,
            7 => step_put(u, &mut ledger, &mut observed)?,
            8 => step_report(u, &mut ledger)?,
            _ => step_restart(&mut ledger),
        }
        assert!(ledger.ledger.clock() >= clock, "the clock went backwards");
        check_outcomes(&ledger, &mut observed);
    }
    Ok(())
}

/// Draws one of a few requests, bodies and holders.
fn draw_claim<'a>(
    u: &mut Unstructured<'_>,
) -> arbitrary::Result<(RequestId, &'a str, (&'a str, u64))> {
    let number = u.int_in_range(0..=5)?;
    let made_at = i64::from(number) * 600_000;
    let body = if u.ratio(1, 8)? { "b" } else { "a" };
    let instance = u.choose(&["i1", "i2", "i3"])?;
    Ok((request(made_at, number as u16), body, (instance, u.int_in_range(1..=3)?)))
}

/// Claims a request. No request is granted twice or after its outcome is recorded.
fn step_begin(
    u: &mut Unstructured<'_>,
    ledger: &mut TestLedger,
    observed: &mut Observed,
) -> arbitrary::Result<()> {
    let (id, body, holder) = draw_claim(u)?;
    let decision = ledger.begin(id, body, holder, observed.now);
    match decision {
        ClaimDecision::Granted => {
            assert!(observed.granted.insert(id), "{id} was granted twice");
            assert_eq!(observed.ended.get(&id), None);
        }
        ClaimDecision::Recorded(record) => {
            let first = observed.ended.insert(id, record.outcome);
            assert!(first.is_none_or(|first| first == record.outcome));
        }
        _ => {}
    }
    Ok(())
}

/// Records an outcome. A recorded outcome never changes, and only a refusal is accepted for a
/// request that nobody claimed.
fn step_finish(
    u: &mut Unstructured<'_>,
    ledger: &mut TestLedger,
    observed: &mut Observed,
) -> arbitrary::Result<()> {
    let (id, body, holder) = draw_claim(u)?;
    let outcome = *u.choose(&[Done, NotRun, Unknown])?;
    let reply = ledger.finish(id, body, holder, record(outcome, None), observed.now);
    if reply.is_recorded() {
        let first = observed.ended.insert(id, outcome);
        assert!(first.is_none_or(|first| first == outcome));
        assert!(outcome == NotRun || observed.granted.contains(&id));
    }
    Ok(())
}

/// Refuses a request. A recorded refusal never changes and never ends an open claim.
fn step_refuse(
    u: &mut Unstructured<'_>,
    ledger: &mut TestLedger,
    observed: &mut Observed,
) -> arbitrary::Result<()> {
    let (id, body, _) = draw_claim(u)?;
    let was_open = ledger.ledger.open_claims().any(|(open, _)| open == id);
    if ledger.refuse(id, body, observed.now).is_recorded() {
        let first = observed.ended.insert(id, NotRun);
        assert!(!was_open && first.is_none_or(|first| first == NotRun));
    }
    Ok(())
}

/// Abandons the claims of earlier incarnations, after which none of them is open.
fn step_abandon(
    u: &mut Unstructured<'_>,
    ledger: &mut TestLedger,
    observed: &mut Observed,
) -> arbitrary::Result<()> {
    let instance = u.choose(&["i1", "i2", "i3"])?;
    let before = u.int_in_range(1..=4)?;
    ledger.abandon(instance, before, observed.now);
    let left = ledger.ledger.open_claims().filter(|(_, holder)| {
        holder.instance.as_str() == *instance && holder.incarnation.get() < before
    });
    assert_eq!(left.count(), 0);
    Ok(())
}

/// Puts a configuration. Versions rise by one, and each change id keeps its first outcome.
fn step_put(
    u: &mut Unstructured<'_>,
    ledger: &mut TestLedger,
    observed: &mut Observed,
) -> arbitrary::Result<()> {
    let change_id = format!("c{}", u.int_in_range(0..=8)?);
    let limit: u32 = u.int_in_range(1..=2)?;
    let base = observed.version.saturating_sub(u.int_in_range(0..=1)?);
    let outcome = ledger.put(&change_id, base, json!({"max_limit": limit}), json!([]));
    match observed.outcomes.get(&change_id) {
        Some((first_limit, first)) if *first_limit == limit => assert_eq!(&outcome, first),
        Some(_) => assert!(matches!(outcome, ConfigOutcome::ChangeIdReused { .. })),
        None => {
            observed.outcomes.insert(change_id, (limit, outcome.clone()));
            if base == observed.version {
                observed.version += 1;
                let version = observed.version.into();
                assert_eq!(outcome, ConfigOutcome::Committed { version });
            } else {
                let current = observed.version.into();
                assert_eq!(outcome, ConfigOutcome::Conflict { current });
            }
        }
    }
    assert_eq!(ledger.ledger.config().version.get(), observed.version);
    Ok(())
}

/// Reports a document count. No recorded count shrinks.
fn step_report(u: &mut Unstructured<'_>, ledger: &mut TestLedger) -> arbitrary::Result<()> {
    let report = ManifestReport {
        snapshot: SnapshotKey {
            index: "x".parse().unwrap(),
            partition_epoch: 1.into(),
            version: u.int_in_range(1..=2_u64)?.into(),
        },
        shard_count: u.int_in_range(2..=3)?,
        shard: u.int_in_range(0..=2_u32)?.into(),
        documents: u.int_in_range(0..=9)?,
    };
    let documents = |ledger: &TestLedger| {
        let snapshot = &report.snapshot;
        let manifests = ledger.ledger.manifests();
        manifests
            .manifest(&snapshot.index, snapshot.partition_epoch, snapshot.version)
            .and_then(|manifest| manifest.shard_documents(report.shard))
    };
    let before = documents(ledger);
    let is_unrecorded =
        !ledger.ledger.manifests().unrecorded(std::slice::from_ref(&report)).is_empty();
    let reply = ledger.apply(&LedgerCommand::RecordManifests(vec![report.clone()]));
    let LedgerReply::Manifests(reply) = reply else { panic!("{reply:?}") };
    assert_eq!(reply.recorded == 1, is_unrecorded);
    assert!(documents(ledger) >= before);
    Ok(())
}

/// Restarts the ledger from its snapshot, which must restore the same state.
fn step_restart(ledger: &mut TestLedger) {
    let restored = Ledger::decode_state(&ledger.ledger.encode_state().unwrap()).unwrap();
    assert_eq!(restored, ledger.ledger);
    ledger.ledger = restored;
}

/// Checks that the outcome of every request that is still in the table is the first one seen.
fn check_outcomes(ledger: &TestLedger, observed: &mut Observed) {
    use figglade::controller::ledger::ClaimStatus;
    let ids: Vec<RequestId> = (0..=5).map(|n| request(i64::from(n) * 600_000, n as u16)).collect();
    for id in ids {
        if let Some(ClaimStatus::Ended(ActionRecord { outcome, .. })) =
            ledger.ledger.claim_status(id)
        {
            assert_eq!(observed.ended.entry(id).or_insert(*outcome), outcome);
        }
    }
}
