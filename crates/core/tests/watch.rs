//! Failover and switchover by watchers, while servers fail, lose connections or
//! are taken out of service.

mod model;

use std::time::Duration;

use chicoryhollow_core::{
    prelude::*,
    watch::{Intervals, SWITCHOVER_QUIESCE_LIMIT, choose_watchers},
};
use indexmap::IndexMap;
use model::{Model, centre, name, vm};
use rand::RngExt;

const WARM_UP: Duration = Duration::from_secs(3);
/// Longest time without an acknowledged write after a server or watcher is
/// killed.
const KILL_TARGET: Duration = Duration::from_secs(3);
/// Longest time without an acknowledged write after connections are cut.
const PARTITION_TARGET: Duration = Duration::from_secs(9);
/// Longest time without an acknowledged write in a switchover.
const SWITCHOVER_TARGET: Duration = Duration::from_millis(500);

/// A fault and the longest time without an acknowledged write after it. Servers
/// and watchers are given by the number of their data centre.
struct Case {
    name: &'static str,
    servers: &'static [usize],
    watchers: &'static [usize],
    target: Duration,
    fault: fn(&mut Model),
}

fn kill(model: &mut Model) {
    model.down.push(model.primary());
}

fn cut_from_servers(model: &mut Model) {
    let primary = model.primary();
    for other in (0..model.servers.len()).filter(|s| *s != primary) {
        model.cut_both(primary, other);
    }
}

fn cut_outgoing(model: &mut Model) {
    let primary = model.primary();
    let nodes = model.servers.len() + model.watchers.len();
    model.cut.extend((0..nodes).map(|to| (primary, to)));
}

/// Cuts off the primary together with all servers and watchers of its data
/// centre.
fn isolate_data_centre(model: &mut Model, watcher_dc: &[usize]) {
    let primary = model.primary();
    let dc = model.plan.data_centre(&model.servers[primary].name).cloned();
    let servers = model.servers.len();
    let inside = |model: &Model, node: usize| match node.checked_sub(servers) {
        Some(watcher) => Some(centre(watcher_dc[watcher])) == dc,
        None => model.plan.data_centre(&model.servers[node].name) == dc.as_ref(),
    };
    for a in 0..servers + watcher_dc.len() {
        for b in 0..servers + watcher_dc.len() {
            if inside(model, a) && !inside(model, b) {
                model.cut_both(a, b);
            }
        }
    }
}

fn kill_promoted_too(model: &mut Model) {
    kill(model);
    let before = model.promotions.len();
    while model.promotions.len() == before {
        model.run(Duration::from_millis(5));
    }
    let target = model.promotions[before].clone();
    model.down.extend(model.servers.iter().position(|s| s.name == target));
}

fn take_out_of_service(model: &mut Model) {
    let server = model.servers[model.primary()].name.clone();
    model.longest_gap = Duration::ZERO;
    model.configure(|plan| plan.servers[&server].serving = false, &[0, 1, 2]);
}

fn kill_with_watcher(model: &mut Model) {
    let primary = model.primary();
    model.down.extend([primary, model.servers.len() + primary]);
}

const CASES: &[Case] = &[
    Case {
        name: "killed",
        servers: &[0, 1, 2],
        watchers: &[0, 1, 2],
        target: KILL_TARGET,
        fault: kill,
    },
    Case {
        name: "killed with its watcher",
        servers: &[0, 1, 2],
        watchers: &[0, 1, 2],
        target: KILL_TARGET,
        fault: kill_with_watcher,
    },
    Case {
        name: "second failure in a promotion",
        servers: &[0, 1, 2, 0, 1],
        watchers: &[0, 1, 2],
        target: Duration::from_secs(6),
        fault: kill_promoted_too,
    },
    Case {
        name: "cut from the other servers",
        servers: &[0, 1, 2],
        watchers: &[0, 1, 2],
        target: PARTITION_TARGET,
        fault: cut_from_servers,
    },
    Case {
        name: "cut one way",
        servers: &[0, 1, 2],
        watchers: &[0, 1, 2],
        target: PARTITION_TARGET,
        fault: cut_outgoing,
    },
    Case {
        name: "data centre unreachable",
        servers: &[0, 1, 2],
        watchers: &[0, 1, 2],
        target: PARTITION_TARGET,
        fault: |model| isolate_data_centre(model, &[0, 1, 2]),
    },
    Case {
        name: "data centre with two of three watchers unreachable",
        servers: &[0, 0, 1, 1, 1],
        watchers: &[0, 0, 1],
        target: PARTITION_TARGET,
        fault: |model| isolate_data_centre(model, &[0, 0, 1]),
    },
    Case {
        name: "data centre taken out",
        servers: &[0, 1, 2],
        watchers: &[0, 1, 2],
        target: SWITCHOVER_TARGET,
        fault: take_out_of_service,
    },
];

#[test]
fn writes_resume_within_the_target_after_each_fault() {
    for case in CASES {
        let mut worst = Duration::ZERO;
        for seed in 0..8 {
            let mut model = Model::new(seed, case.servers, case.watchers);
            model.run(WARM_UP);
            assert!(!model.acknowledged.is_empty(), "{}: the group starts", case.name);
            model.longest_gap = Duration::ZERO;
            (case.fault)(&mut model);
            model.run(PARTITION_TARGET + WARM_UP);
            let gap = model.longest_gap;
            assert!(gap <= case.target, "{} seed {seed}: no write for {gap:?}", case.name);
            let rest = model.now.since(model.last_acknowledged);
            assert!(rest < Duration::from_millis(100), "{} seed {seed}: stopped", case.name);
            worst = worst.max(gap);
        }
        println!("{}: longest gap {worst:?}", case.name);
    }
}

/// Takes the primary out of service while a transaction that has written stays
/// open on it for `open`. Returns the old primary and the time until the
/// switchover.
fn switch_over_with_transaction(seed: u64, open: Duration) -> (Model, usize, Duration) {
    let mut model = Model::new(seed, &[0, 1, 2], &[0, 1, 2]);
    model.run(WARM_UP);
    let (old, begun) = (model.primary(), model.now);
    model.servers[old].busy_until = begun + open;
    take_out_of_service(&mut model);
    while model.servers[old].is_open() || model.primary() == old {
        model.run(Duration::from_millis(5));
        assert!(model.now.since(begun) < PARTITION_TARGET, "seed {seed}: nothing moved");
        if !model.servers.iter().any(|server| server.is_open()) {
            model.run(Duration::from_millis(100));
        }
    }
    let elapsed = model.now.since(begun);
    (model, old, elapsed)
}

#[test]
fn a_switchover_waits_for_open_write_transactions() {
    for seed in 0..8 {
        let (model, old, elapsed) = switch_over_with_transaction(seed, Duration::from_secs(2));
        assert!(!model.servers[old].aborted, "seed {seed}: the transaction was aborted");
        assert!(elapsed < WARM_UP, "seed {seed}: moved after {elapsed:?}");
        assert!(model.longest_gap <= SWITCHOVER_TARGET, "seed {seed}: {:?}", model.longest_gap);
    }
}

#[test]
fn a_switchover_waits_no_longer_than_its_limit() {
    for seed in 0..8 {
        let (model, old, elapsed) = switch_over_with_transaction(seed, PARTITION_TARGET);
        assert!(model.servers[old].aborted, "seed {seed}: the transaction is still open");
        assert!(elapsed >= SWITCHOVER_QUIESCE_LIMIT, "seed {seed}: moved after {elapsed:?}");
        assert!(elapsed < Duration::from_secs(5), "seed {seed}: moved after {elapsed:?}");
    }
}

#[test]
fn a_primary_that_fails_before_a_switchover_is_replaced_in_time() {
    for seed in 0..8 {
        let mut model = Model::new(seed, &[0, 1, 2], &[0, 1, 2]);
        model.run(WARM_UP);
        let old = model.primary();
        model.servers[old].busy_until = model.now + PARTITION_TARGET;
        take_out_of_service(&mut model);
        model.run(Duration::from_millis(300));
        model.down.push(old);
        model.run(PARTITION_TARGET);
        assert!(model.longest_gap <= KILL_TARGET, "seed {seed}: {:?}", model.longest_gap);
    }
}

/// Creates a stable group with rarely polled servers.
fn rarely_polled(seed: u64) -> Model {
    let mut model = Model::new(seed, &[0, 1, 2], &[0, 1, 2]);
    let intervals =
        Intervals { primary: WARM_UP, replica: WARM_UP * 10, observation: WARM_UP * 10 };
    model.watchers.iter_mut().for_each(|watcher| watcher.set_intervals(intervals));
    model.run(WARM_UP);
    model.longest_gap = Duration::ZERO;
    model
}

#[test]
fn a_primary_that_is_polled_rarely_stays_primary() {
    let mut model = rarely_polled(1);
    let before = model.promotions.len();
    model.run(Duration::from_secs(30));
    assert_eq!(model.promotions.len(), before);
    assert!(model.longest_gap < Duration::from_millis(100), "{:?}", model.longest_gap);
}

#[test]
fn reports_of_failed_requests_shorten_failover_when_polls_are_rare() {
    for seed in 0..8 {
        for (reported, target) in [(true, KILL_TARGET), (false, PARTITION_TARGET)] {
            let mut model = rarely_polled(seed);
            model.run(Duration::from_millis(700 * seed));
            kill(&mut model);
            model.run(Duration::from_millis(50));
            if reported {
                model.report();
            }
            model.run(PARTITION_TARGET + WARM_UP);
            let gap = model.longest_gap;
            println!("rarely polled, reported {reported}: longest gap {gap:?}");
            assert!(gap <= target, "seed {seed} reported {reported}: no write for {gap:?}");
        }
    }
}

#[test]
fn a_primary_that_one_watcher_cannot_reach_stays_primary() {
    let mut model = Model::new(1, &[0, 1, 2], &[0, 1, 2]);
    model.run(WARM_UP);
    let (primary, before) = (model.primary(), model.promotions.len());
    let other = model.servers.len() + (primary + 1) % 3;
    model.cut_both(primary, other);
    model.run(Duration::from_secs(8));
    assert_eq!(model.promotions.len(), before);
}

#[test]
fn members_follow_the_configuration_one_at_a_time() {
    let mut model = Model::new(1, &[0, 1, 2, 0], &[0, 1, 2]);
    let spare: ServerId = name("s3");
    let spare_plan = model.plan.servers[&spare].clone();
    model.configure(|plan| drop(plan.servers.shift_remove(&spare)), &[0, 1, 2]);
    model.run(WARM_UP);
    let primary = model.primary();
    let leaving = model.servers[(primary + 1) % 3].name.clone();
    model.longest_gap = Duration::ZERO;
    model.configure(
        |plan| {
            plan.servers.insert(spare.clone(), spare_plan.clone());
            plan.servers[&leaving].leaving = true;
        },
        &[0, 1, 2],
    );
    model.run(Duration::from_secs(6));
    let members = &model.servers[model.primary()].members.servers;
    assert!(members.contains(&spare) && !members.contains(&leaving), "{members:?}");
    assert!(model.longest_gap < SWITCHOVER_TARGET, "{:?}", model.longest_gap);
}

#[test]
fn a_replica_does_not_stay_fenced_by_an_abandoned_failover() {
    for seed in 0..8 {
        let mut model = Model::new(seed, &[0, 1, 2], &[0, 1, 2]);
        model.run(WARM_UP);
        let (primary, before) = (model.primary(), model.promotions.len());
        let watchers = model.servers.len()..model.servers.len() + 3;
        watchers.for_each(|watcher| model.cut_both(primary, watcher));
        while model.watchers.iter().all(|watcher| watcher.promotion().is_none()) {
            model.run(Duration::from_millis(1));
        }
        // One replica gets no fence, so that no majority grants it.
        model.down.push((primary + 2) % 3);
        model.run(Duration::from_secs(3));
        assert_eq!(model.promotions.len(), before, "seed {seed}: the failover is abandoned");
        let is_fenced = |model: &Model| model.servers.iter().any(|server| server.is_fenced());
        assert!(is_fenced(&model), "seed {seed}: a replica was fenced");
        model.cut.clear();
        model.down.clear();
        model.run(WARM_UP);
        model.longest_gap = Duration::ZERO;
        model.run(PARTITION_TARGET);
        assert!(!is_fenced(&model), "seed {seed}: a replica stays fenced");
        assert!(model.longest_gap < SWITCHOVER_TARGET, "seed {seed}: {:?}", model.longest_gap);
    }
}

/// Injects random faults for a while, then removes them and checks that writes
/// resume.
fn run_random_faults(seed: u64, servers: &[usize], racing: bool) {
    let watchers = [0, 1, 2];
    let mut model = Model::new(seed, servers, &watchers);
    if racing {
        // Each watcher knows only itself, so that none waits for the others.
        for i in 0..watchers.len() {
            let places = only_watcher(i);
            let plan = model.plan.clone();
            model.watchers[i].configure(plan, places);
        }
    }
    model.run(WARM_UP);
    model.loss = 0.05;
    model.delay_ms = 40;
    let nodes = servers.len() + watchers.len();
    for _ in 0..20 {
        let (a, b) = (model.rng.random_range(0..nodes), model.rng.random_range(0..nodes));
        match model.rng.random_range(0..6) {
            0 => model.down.push(a),
            1 => model.down.clear(),
            2 => model.cut_both(a, b),
            3 => model.cut.push((a, b)),
            4 => model.cut.clear(),
            _ if racing => {}
            _ => {
                let server = model.servers[a % servers.len()].name.clone();
                let flip = |plan: &mut chicoryhollow_core::watch::GroupPlan| {
                    let plan = &mut plan.servers[&server];
                    plan.serving = !plan.serving;
                };
                model.configure(flip, &watchers);
            }
        }
        let span = model.rng.random_range(200..1_500);
        model.run(Duration::from_millis(span));
    }
    model.down.clear();
    model.cut.clear();
    model.loss = 0.0;
    model.delay_ms = 3;
    model.run(Duration::from_secs(12));
    let rest = model.now.since(model.last_acknowledged);
    assert!(rest < Duration::from_millis(600), "seed {seed}: no write for {rest:?}");
}

fn only_watcher(i: usize) -> Vec<chicoryhollow_core::watch::WatcherPlace> {
    vec![chicoryhollow_core::watch::WatcherPlace { vm: vm(i), data_centre: centre(i) }]
}

#[test]
fn no_acknowledged_write_is_lost_under_random_faults() {
    for seed in 0..12 {
        run_random_faults(seed, &[0, 1, 2], false);
        run_random_faults(seed, &[0, 1, 2, 0, 1], false);
    }
}

#[test]
fn no_acknowledged_write_is_lost_when_watchers_race() {
    for seed in 100..112 {
        run_random_faults(seed, &[0, 1, 2], true);
        run_random_faults(seed, &[0, 1, 2, 0, 1], true);
    }
}

#[test]
fn watchers_span_data_centres() {
    let group: GroupId = name("orders");
    let centres = |sizes: &[usize]| -> IndexMap<DataCentreId, Vec<VmId>> {
        let vms = |dc: usize, n: usize| (0..n).map(move |i| vm(dc * 10 + i)).collect();
        sizes.iter().enumerate().map(|(dc, n)| (centre(dc), vms(dc, *n))).collect()
    };
    let cases: &[(&[usize], usize, usize)] =
        &[(&[2, 2, 2], 3, 3), (&[1, 3], 3, 2), (&[5], 3, 1), (&[1, 1], 2, 2), (&[], 0, 0)];
    for (sizes, count, spread) in cases {
        let chosen = choose_watchers(&group, &centres(sizes));
        let mut seen: Vec<_> = chosen.iter().map(|place| &place.data_centre).collect();
        seen.sort();
        seen.dedup();
        assert_eq!((chosen.len(), seen.len()), (*count, *spread), "{sizes:?}");
    }
}
