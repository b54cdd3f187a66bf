//! The rules of the admission by load: what counts as load, who is refused, and until when.

use std::{sync::Arc, time::Duration};

use figglade::{
    CoreShare, CustomerName, RouteSetVersion, Timestamp,
    controller::route_set::{CallerLimits, Destination, RepeatRule, RouteSet, RouteSpec},
    filter::overload::{
        LoadAdmission, LoadChange, LoadDecision, LoadRequest, RefusalReason, SAMPLE_INTERVAL,
        WorkModel, needs_load_admission,
    },
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const LATE: Duration = Duration::from_millis(90);

fn search(priority: u32) -> LoadRequest<'static> {
    LoadRequest {
        priority,
        customer: None,
        is_above_usual: false,
        work: Duration::from_millis(20),
        goal: Duration::from_millis(120),
        goal_left: Duration::from_millis(120),
        deadline_left: Duration::from_millis(800),
        min_time: Duration::from_millis(2),
        typical_time: Duration::from_millis(20),
    }
}

/// An admission with its clock and random source.
struct Trial {
    admission: LoadAdmission,
    now: Timestamp,
    rng: ChaCha8Rng,
}

impl Trial {
    fn new() -> Self {
        let rng = ChaCha8Rng::seed_from_u64(1);
        Self { admission: LoadAdmission::default(), now: Timestamp::from_millis(1_000), rng }
    }

    fn sample(&mut self, delay: Duration) -> Option<LoadChange> {
        let due = self.now + SAMPLE_INTERVAL;
        self.now = due + delay;
        self.admission.record_sample(due, self.now)
    }

    fn decide(&mut self, request: &LoadRequest<'_>) -> LoadDecision {
        self.admission.decide(request, self.now, &mut self.rng)
    }

    /// Returns whether each of several requests in a row is admitted.
    fn count_admitted(&mut self, request: &LoadRequest<'_>, count: usize) -> usize {
        let decisions = (0..count).map(|_| self.decide(request));
        decisions.filter(|decision| matches!(decision, LoadDecision::Admit(_))).count()
    }
}

/// Guards against refusals after one late timer, however much work is in progress.
#[test]
fn a_single_late_timer_refuses_nothing() {
    let mut trial = Trial::new();
    trial.admission.gauge.start(Duration::from_secs(10));
    for _ in 0..20 {
        assert_eq!(trial.sample(Duration::from_secs(3)), None);
        assert_eq!(trial.count_admitted(&search(2), 5), 5);
        trial.sample(Duration::ZERO);
    }
}

/// Guards against a standing queue that is never answered by refusals, and against a state that
/// outlasts it.
#[test]
fn a_standing_queue_lowers_the_level_until_it_is_gone() {
    let mut trial = Trial::new();
    trial.count_admitted(&search(1), 10);
    let changes: Vec<_> = (0..20).filter_map(|_| trial.sample(LATE)).collect();
    assert!(matches!(changes[..], [LoadChange::Began { .. }]), "one log line: {changes:?}");
    let admitted = trial.count_admitted(&search(1), 20);
    assert!((3..15).contains(&admitted), "{admitted}");
    let changes: Vec<_> = (0..40).filter_map(|_| trial.sample(Duration::ZERO)).collect();
    let [LoadChange::Ended(phase)] = changes[..] else { panic!("one log line: {changes:?}") };
    assert_eq!((phase.admitted, phase.refused), (admitted as u64, 20 - admitted as u64));
    assert_eq!(trial.count_admitted(&search(1), 20), 20);
}

/// Guards against the refusal of important work while less important work is admitted.
#[test]
fn lower_ranks_are_refused_first() {
    let mut trial = Trial::new();
    let above_usual = LoadRequest { is_above_usual: true, ..search(1) };
    let late = LoadRequest { goal_left: Duration::ZERO, ..search(1) };
    let ranked = [search(0), search(1), late, above_usual, search(2)];
    trial.count_admitted(&ranked[0], 1);
    for _ in 0..8 {
        trial.sample(LATE);
    }
    let mut admitted = [0; 5];
    for _ in 0..40 {
        for (count, request) in admitted.iter_mut().zip(&ranked) {
            *count += trial.count_admitted(request, 1);
        }
    }
    assert!(admitted[0] > 36, "{admitted:?}");
    assert!(admitted.is_sorted_by(|before, after| before >= after), "{admitted:?}");
    assert!(admitted[4] < 10 && admitted[4] >= 3, "the floor holds: {admitted:?}");
}

/// Guards against a customer with few requests that are refused several times in a row, while a large
/// customer of the same rank is served in between.
#[test]
fn a_small_customer_is_not_refused_several_times_in_a_row() {
    let [large, small] = ["large", "small"].map(|name| name.parse::<CustomerName>().unwrap());
    let mut trial = Trial::new();
    trial.count_admitted(&search(1), 1);
    for _ in 0..6 {
        trial.sample(LATE);
    }
    let (mut served, mut refusals, mut longest) = (0, 0, 0);
    for number in 0..1_000 {
        trial.now = trial.now + Duration::from_millis(50);
        let is_small = number % 37 == 0;
        let customer = Some(if is_small { &small } else { &large });
        let is_admitted = trial.count_admitted(&LoadRequest { customer, ..search(1) }, 1) == 1;
        if is_small {
            refusals = if is_admitted { 0 } else { refusals + 1 };
            longest = longest.max(refusals);
        } else {
            served += usize::from(is_admitted);
        }
    }
    assert!((200..700).contains(&served), "the large customer is refused in part: {served}");
    assert!(longest <= 1, "{longest}");
}

/// Guards against refusals for the sake of a short goal that they cannot restore, because most of the
/// work takes precedence.
#[test]
fn a_goal_is_protected_only_if_the_work_behind_it_can_give_way() {
    let urgent = |priority: u32| LoadRequest {
        goal: Duration::from_millis(40),
        work: Duration::from_millis(10),
        ..search(priority)
    };
    for (priority, is_protected) in [(0, true), (2, false)] {
        let mut trial = Trial::new();
        for _ in 0..20 {
            trial.count_admitted(&search(1), 2);
            trial.count_admitted(&urgent(priority), 1);
            trial.sample(Duration::from_millis(38));
        }
        assert_eq!(trial.admission.level() < 1.0, is_protected, "priority {priority}");
    }
}

/// Guards against work for callers that have stopped waiting.
#[test]
fn a_request_without_the_time_for_an_answer_is_refused_at_once() {
    let mut trial = Trial::new();
    let short = LoadRequest { deadline_left: Duration::from_millis(1), ..search(0) };
    let LoadDecision::Refuse { reason, .. } = trial.decide(&short) else { panic!("admitted") };
    assert_eq!(reason, RefusalReason::DeadlineTooClose);
    for _ in 0..5 {
        trial.sample(LATE);
    }
    let behind_queue = LoadRequest { deadline_left: LATE, ..search(0) };
    assert!(matches!(trial.decide(&behind_queue), LoadDecision::Refuse { .. }));
}

/// Guards against callers that are asked to return before there is room, all at the same time.
#[test]
fn the_time_to_a_retry_is_when_the_request_would_be_admitted() {
    let mut trial = Trial::new();
    trial.count_admitted(&search(1), 50);
    for _ in 0..20 {
        trial.sample(LATE);
    }
    let mut delays = Vec::new();
    for _ in 0..50 {
        if let LoadDecision::Refuse { retry_after, .. } = trial.decide(&search(1)) {
            delays.push(retry_after);
        }
    }
    let (Some(shortest), Some(longest)) = (delays.iter().min(), delays.iter().max()) else {
        panic!("nothing was refused");
    };
    assert!(*longest > *shortest + Duration::from_millis(100), "spread: {delays:?}");
    let start = trial.now;
    while trial.now.since(start) < *shortest {
        trial.sample(Duration::ZERO);
    }
    assert_eq!(trial.count_admitted(&search(1), 20), 20);
}

/// Guards against the admission by load where a deployment did not ask for it, and the reverse.
#[test]
fn the_route_set_decides_whether_admission_is_by_load() {
    let route = |priority: u32, goal_ms: u64| RouteSpec {
        name: format!("r{priority}"),
        host: "a".to_owned(),
        prefix: "/".to_owned(),
        repeat: RepeatRule::Idempotent,
        timeout: Duration::from_secs(1),
        latency_goal: Duration::from_millis(goal_ms),
        priority,
        max_attempts: 1,
        destination: Destination::Service("s".parse().unwrap()),
        is_public: false,
    };
    let set = |routes: Vec<RouteSpec>| RouteSet {
        version: RouteSetVersion::new(1),
        routes,
        services: Vec::new(),
        limits: CallerLimits::default(),
        customers: None,
    };
    assert!(!needs_load_admission(&set(vec![route(0, 40)])));
    assert!(!needs_load_admission(&set(vec![route(0, 50), route(1, 120)])));
    assert!(needs_load_admission(&set(vec![route(2, 40), route(1, 120)])));
    let with_customers = RouteSet { customers: Some(Vec::new()), ..set(vec![route(0, 500)]) };
    assert!(needs_load_admission(&Arc::new(with_customers)));
}

/// Guards against work estimates that ignore the size of the machine.
#[test]
fn a_search_takes_longer_on_a_smaller_machine() {
    let on = |millis: u32| WorkModel::new(CoreShare::new(millis)).work_of(36);
    assert_eq!(on(1_000), Duration::from_millis(2));
    assert_eq!(on(100), Duration::from_millis(20));
    assert_eq!(on(0), on(1_000), "the processor time is not known");
}
