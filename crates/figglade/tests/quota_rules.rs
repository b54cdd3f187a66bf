//! Tests of the single rules for quotas.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use figglade::{
    CustomerName, RequestRate, Timestamp,
    controller::{
        quota::{
            AUTHORITY_LIFETIME, GrantAuthority, HubCensus, QuotaGranter, QuotaPlan, QuotaReserve,
            QuotaRules, QuotaTable, QuotaToken, RESERVE_LIFETIME, RefillAsk, RefillGrant,
            RefusalCache, TOKEN_LIFETIME, TakeOutcome, TokenStamp,
        },
        route_set::{CustomerQuota, CustomerSpec},
    },
};

const RULES: QuotaRules =
    QuotaRules { window: Duration::from_secs(5), overshoot: 0.1, slack: 20.0 };

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

const fn quota(rate: f64, burst: f64) -> CustomerQuota {
    CustomerQuota { rate: RequestRate::new(rate), burst }
}

fn name() -> CustomerName {
    "shop".parse().unwrap()
}

fn table(rate: f64, burst: f64) -> QuotaTable {
    let quota = Some(quota(rate, burst));
    let customer = CustomerSpec { name: name(), keys: Vec::new(), priority: None, quota };
    QuotaTable::new(&[customer], &RULES, 6)
}

fn grant(tokens: u32, wait_ms: u32) -> Vec<RefillGrant> {
    vec![RefillGrant { customer: name(), tokens, limit: 8, wait_ms }]
}

fn hub(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// Guards against plans whose levels together hold more than the bound allows, or whose granter and one
/// hub together hold less than a burst.
#[test]
fn a_plan_keeps_the_bound_and_covers_a_burst() {
    for hubs in 1..=9 {
        for rate in [0.1, 1.0, 5.0, 12.5, 40.0, 150.0] {
            for burst in [0.0, 1.0, 5.0, 40.0, 200.0] {
                let quota = quota(rate, burst);
                let plan = QuotaPlan::new(&quota, &RULES, hubs);
                assert!(plan.keeps_bound(&RULES), "{plan:?}");
                assert!(plan.central + f64::from(plan.reserve) >= burst + 1.0 - 1e-9, "{plan:?}");
                let most = rate + burst / RULES.window.as_secs_f64();
                assert!(rate <= plan.refill && plan.refill <= most + 1e-9, "{plan:?}");
            }
        }
    }
    let tight = QuotaRules { slack: 0.0, overshoot: 0.0, ..RULES };
    let plan = QuotaPlan::new(&quota(5.0, 5.0), &tight, 6);
    assert_eq!(plan.reserve, 1, "a hub can always serve a request");
    assert!(!plan.keeps_bound(&tight), "this is reported");
}

/// Guards against a member that grants beside another one.
#[test]
fn an_authority_ends_without_confirmations_and_begins_anew_in_each_term() {
    let mut authority = GrantAuthority::default();
    assert!(!authority.is_valid(at(0)));
    assert!(authority.confirm(3, false, at(1_000), at(1_010)));
    assert!(!authority.is_valid(at(1_100)), "its predecessor may still grant");
    assert!(!authority.confirm(3, false, at(1_200), at(1_210)));
    assert!(!authority.confirm(3, false, at(1_400), at(1_410)));
    let starts = at(1_010) + AUTHORITY_LIFETIME;
    assert!(!authority.is_valid(starts - Duration::from_millis(1)));
    assert!(authority.is_valid(starts));
    assert!(!authority.is_valid(at(1_400) + AUTHORITY_LIFETIME), "counted from the question");
    assert!(authority.confirm(5, false, at(1_600), at(1_610)), "another term may lie between");
    assert!(!authority.is_valid(at(1_609) + AUTHORITY_LIFETIME));
}

/// Guards against tokens that two granters grant, and against empty buckets of customers that are new.
#[test]
fn a_new_granter_starts_with_one_token_and_new_customers_with_all() {
    let ask = [RefillAsk { customer: name(), missing: 0, waiting: 100 }];
    let mut granter = QuotaGranter::default();
    granter.restart(at(1_000), false);
    granter.update(&table(2.0, 10.0), RULES.window, at(500));
    assert_eq!(granter.grant(hub(1), &ask, at(1_000))[0].tokens, 1);
    let refill = table(2.0, 10.0).get(&name()).unwrap().refill;
    let next = &granter.grant(hub(1), &ask, at(1_100))[0];
    let wait_ms = ((1.0 - 0.1 * refill) / refill * 1_000.0).ceil() as u32;
    assert_eq!((next.tokens, next.wait_ms), (0, wait_ms), "the bucket fills at its rate");
    assert_eq!(granter.grant(hub(1), &ask, at(3_000))[0].tokens, (2.0 * refill) as u32);

    for (is_first, now) in [(true, at(1_000)), (false, at(1_000) + RULES.window)] {
        let mut granter = QuotaGranter::default();
        granter.restart(at(1_000), is_first);
        granter.update(&table(2.0, 10.0), RULES.window, now);
        let tokens = granter.grant(hub(1), &ask, now)[0].tokens;
        assert!(tokens >= 7, "a whole bucket: {tokens}");
        // Removing the customer and adding it again within a window grants nothing twice.
        granter.update(&QuotaTable::default(), RULES.window, now);
        granter.update(&table(2.0, 10.0), RULES.window, now + Duration::from_secs(1));
        let again = granter.grant(hub(1), &ask, now + Duration::from_secs(1))[0].tokens;
        assert!(f64::from(again) <= refill, "{again}");
    }
}

/// Guards against a refusal that names a shorter time than the granter, after which callers return in
/// vain.
#[test]
fn a_refusal_names_the_wait_of_the_granter() {
    let mut reserve = QuotaReserve::default();
    reserve.update(&table(1.0, 0.0));
    reserve.complete_refill(at(0), &grant(0, 700), at(0));
    let wait = Duration::from_millis(700);
    assert_eq!(reserve.take(&name(), at(0)), TakeOutcome::Exhausted(wait));
    assert!(reserve.begin_refill(&HashMap::new(), at(199)).is_empty());
    assert_eq!(reserve.begin_refill(&HashMap::new(), at(200)).len(), 1, "it asks again earlier");
    assert_eq!(reserve.take(&name(), at(200)), TakeOutcome::Empty);
}

/// Guards against a granter that keeps the tokens of a higher limit.
#[test]
fn a_lowered_limit_reduces_the_bucket() {
    let mut granter = QuotaGranter::default();
    granter.restart(at(0), true);
    granter.update(&table(40.0, 80.0), RULES.window, at(0));
    granter.update(&table(1.0, 0.0), RULES.window, at(10));
    let ask = [RefillAsk { customer: name(), missing: 0, waiting: 100 }];
    let plan = *table(1.0, 0.0).get(&name()).unwrap();
    assert!(f64::from(granter.grant(hub(1), &ask, at(10))[0].tokens) <= plan.central);
}

/// Guards against a token that is used long after it counted.
#[test]
fn a_token_is_used_shortly_after_it_was_asked_for() {
    let token = QuotaToken { hub: 1, stamp: TokenStamp::default(), asked: at(1_000) };
    assert!(token.is_valid(at(1_200)));
    assert!(!token.is_valid(at(1_000) + TOKEN_LIFETIME));
}

/// Guards against tokens of a reply that arrives late, of a hub that lost its granter for long, and
/// against reserves above a lowered limit.
#[test]
fn a_reserve_ignores_late_replies_and_expires() {
    let mut reserve = QuotaReserve::default();
    reserve.update(&table(40.0, 10.0));
    assert_eq!(reserve.take(&name(), at(0)), TakeOutcome::Empty);
    reserve.complete_refill(at(0), &grant(2, 0), at(500));
    assert_eq!(reserve.total_held(), 0, "the reply took too long");
    reserve.complete_refill(at(500), &grant(3, 0), at(510));
    assert_eq!(reserve.take(&name(), at(520)), TakeOutcome::Taken);
    reserve.give_back(&name());
    assert_eq!(reserve.total_held(), 3);
    reserve.complete_refill(at(530), &grant(100, 0), at(540));
    reserve.trim();
    let limit = u64::from(table(40.0, 10.0).get(&name()).unwrap().reserve);
    assert_eq!(reserve.total_held(), limit, "tokens for requests that no longer wait are dropped");
    reserve.update(&table(1.0, 0.0));
    assert_eq!(reserve.total_held(), 2, "the limit was lowered");
    assert_eq!(reserve.take(&name(), at(530) + RESERVE_LIFETIME), TakeOutcome::Empty);
    assert_eq!(reserve.total_held(), 0);
}

/// Guards against a hub that asks without end for tokens that the granter does not have.
#[test]
fn an_exhausted_reserve_refuses_until_the_granter_has_a_token() {
    let mut reserve = QuotaReserve::default();
    reserve.update(&table(5.0, 5.0));
    let waiting = HashMap::from([(name(), 2)]);
    let asks = reserve.begin_refill(&waiting, at(0));
    assert_eq!((asks.len(), asks[0].waiting), (1, 2));
    reserve.complete_refill(at(0), &grant(0, 150), at(10));
    let wait = Duration::from_millis(150);
    assert_eq!(reserve.take(&name(), at(10)), TakeOutcome::Exhausted(wait));
    assert!(reserve.begin_refill(&waiting, at(100)).is_empty());
    assert_eq!(reserve.begin_refill(&waiting, at(160)).len(), 1);
    assert_eq!(reserve.take(&name(), at(160)), TakeOutcome::Empty, "the granter is asked again");
    assert_eq!(reserve.take(&"other".parse().unwrap(), at(0)), TakeOutcome::Unlimited);
}

/// Guards against refusals that are repeated long after there is capacity, and against plans for too
/// few hubs while one cannot be reached.
#[test]
fn refusals_are_cached_briefly_and_hubs_counted_for_long() {
    let mut cache = RefusalCache::default();
    cache.record(&name(), Duration::from_secs(2), at(0));
    assert_eq!(cache.find(&name(), at(100)), Some(Duration::from_millis(1_900)));
    assert_eq!(cache.find(&name(), at(200)), None, "the quota may have been raised");
    let mut census = HubCensus::default();
    assert_eq!(census.record(6, at(0)), 6);
    assert_eq!(census.record(4, at(59_000)), 6);
    assert_eq!(census.record(4, at(60_000)), 6, "known within the last 60 s");
    assert_eq!(census.record(4, at(120_000)), 4);
    assert_eq!(census.record(7, at(120_100)), 7);
}
