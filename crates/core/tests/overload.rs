//! Loads above what the servers carry, replayed against the rules of admission.

#[path = "overload/model.rs"]
mod model;

use model::{Report, Rules, Scenario, replay};

/// Connections that a server accepts.
const CONNECTIONS: u32 = 56;

fn scenario(rules: Rules, factor: impl Fn(f64) -> f64 + 'static) -> Scenario {
    Scenario {
        rules,
        groups: 4,
        connections: CONNECTIONS,
        factor: Box::new(factor),
        offender: None,
        classes: 0..3,
        travel: 0,
        seconds: 3.0,
        seed: 1,
    }
}

fn goodput(report: &Report) -> f64 {
    report.goodput(1.0, 3.0)
}

fn everyone(_: usize) -> bool {
    true
}

fn shares(report: &Report, is_counted: fn(usize) -> bool) -> [f64; 3] {
    [0, 1, 2].map(|class| report.share(class, 1.0, 3.0, is_counted))
}

/// A group with few connections for the accounts that use it.
fn few_connections(rules: Rules, load: f64) -> Report {
    replay(Scenario { groups: 1, connections: 22, ..scenario(rules, move |_| load) })
}

/// In the order of arrival, nearly every waiting request finds no idle connection of its account
/// and opens one, which takes the server's time, so that the overload feeds itself.
#[test]
fn connections_opened_in_the_order_of_arrival_do_not_eat_the_capacity() {
    let [arrival, readiness] = [Rules::Arrival, Rules::Readiness].map(|rules| {
        let (normal, full) = (few_connections(rules, 0.6), few_connections(rules, 1.0));
        (goodput(&full) / goodput(&normal), full.opened_share())
    });
    assert!(arrival.0 < 0.7 && readiness.0 > 0.9, "{arrival:?} {readiness:?}");
    assert!(readiness.1 < 0.8 * arrival.1, "{arrival:?} {readiness:?}");
}

/// Connections do not bound what reaches a server, so requests wait in its own queue until they
/// are late, and are rejected there and retried.
#[test]
fn without_a_bound_of_statements_goodput_collapses() {
    let normal = replay(scenario(Rules::Readiness, |_| 0.5));
    let full = replay(Scenario { groups: 1, ..scenario(Rules::Readiness, |_| 1.5) });
    let left = goodput(&full) * 4.0 / goodput(&normal);
    assert!(left < 0.1, "{left}");
    assert!(full.rejected_share() > 1.0, "{}", full.rejected_share());
}

#[test]
fn goodput_does_not_fall_when_the_load_exceeds_the_capacity() {
    let mut best = 0.0;
    for load in [0.5, 1.0, 1.5, 2.6, 5.0] {
        let report = replay(scenario(Rules::Admission, move |_| load));
        let (found, shares) = (goodput(&report), shares(&report, everyone));
        assert!(found >= 0.95 * best, "{load}: {found} of {best}");
        best = f64::max(best, found);
        assert!(shares[2] > 0.01, "the least urgent class starves: {load} {shares:?}");
        assert!(report.rejected_share() < 0.005, "{load}");
        assert!(load > 2.6 || shares[0] >= 0.98, "{load} {shares:?}");
    }
}

/// Less urgent requests must not take the slots that the most urgent class needs.
#[test]
fn the_most_urgent_class_is_in_time_as_long_as_it_fits_alone() {
    let load = || scenario(Rules::Admission, |_| 5.0);
    let alone = replay(Scenario { classes: 0..1, ..load() });
    let [alone, among] = [alone, replay(load())].map(|report| shares(&report, everyone)[0]);
    assert!(alone < 0.98 || among >= 0.98, "{alone} alone, {among} among others");
}

/// A slot that is held while messages travel must not leave the server idle.
#[test]
fn servers_stay_busy_when_messages_travel() {
    let load = |travel| Scenario { travel, ..scenario(Rules::Admission, |_| 2.6) };
    let (near, far) = (goodput(&replay(load(0))), goodput(&replay(load(5_000))));
    assert!(far >= 0.96 * near, "{near} {far}");
}

/// One account at 7.5 times its load must not displace the others.
#[test]
fn other_accounts_are_served_beside_one_that_exceeds_its_part() {
    let is_other = |account| account != 0;
    for seed in [1, 4] {
        let load = |offender| Scenario { offender, seed, ..scenario(Rules::Admission, |_| 0.5) };
        let before = shares(&replay(load(None)), is_other);
        let after = shares(&replay(load(Some((0, 7.5)))), is_other);
        for class in 0..3 {
            assert!(after[class] >= before[class] - 0.02, "{seed}: {before:?} {after:?}");
        }
    }
}

/// Estimates of the overload must not refuse requests when it is over.
#[test]
fn one_second_after_an_overload_all_is_as_before() {
    let factor = |second| if (1.0..3.0).contains(&second) { 2.6 } else { 0.5 };
    let load = Scenario { groups: 2, seconds: 5.0, ..scenario(Rules::Admission, factor) };
    let report = replay(load);
    for class in 0..3 {
        let share = report.share(class, 4.0, 5.0, everyone);
        assert!(share >= report.share(class, 0.0, 1.0, everyone) - 0.01, "{class}: {share}");
    }
}
