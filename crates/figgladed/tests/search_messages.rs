//! The compatibility of search messages between consecutive releases.

use std::time::Duration;

use figglade::peer::{decode_payload, encode_compact};
use figgladed::relay::{ProbeLoad, SearchMessage, SearchPlan, SearchProbe};
use serde::{Deserialize, Serialize};

/// The messages of the releases without admission by load.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum LegacyMessage {
    Probe(SearchPlan),
}

fn plan() -> SearchPlan {
    SearchPlan { route: "search".to_owned(), digest: 7 }
}

fn load() -> ProbeLoad {
    ProbeLoad {
        priority: 2,
        is_above_usual: true,
        shards: 36,
        goal_left: Duration::from_micros(31_500),
        deadline_left: Duration::from_millis(390),
    }
}

/// Guards against probes that the previous release rejects: without names, it takes an additional
/// field for another type.
#[test]
fn the_previous_release_reads_probes_with_and_without_a_load() {
    for load in [None, Some(load())] {
        let frame = SearchMessage::Probe(SearchProbe::new(&plan(), load)).to_frame().unwrap();
        let decoded: LegacyMessage = decode_payload(&frame.payload).unwrap();
        assert_eq!(decoded, LegacyMessage::Probe(plan()));
    }
}

/// Guards against the loss of what an aggregator decides by.
#[test]
fn probes_of_both_releases_are_decoded() {
    let legacy = encode_compact(&LegacyMessage::Probe(plan())).unwrap();
    let decoded: SearchMessage = decode_payload(&legacy).unwrap();
    assert_eq!(decoded, SearchMessage::Probe(SearchProbe::new(&plan(), None)));
    let probe = SearchMessage::Probe(SearchProbe::new(&plan(), Some(load())));
    let decoded: SearchMessage = decode_payload(&probe.to_frame().unwrap().payload).unwrap();
    assert_eq!(decoded, probe);
}
