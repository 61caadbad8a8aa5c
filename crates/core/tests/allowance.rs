//! Token balances admit no more than rate and burst allow, and refuse little below.

use std::{collections::HashSet, time::Duration};

use chicoryhollow_core::{
    AccountId, Time, VmId,
    allowance::{TokenBalance, keepers},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const VMS: usize = 9;
const KEEPERS: usize = 8;
const STEP_MS: u64 = 2;

/// Maximum wait of a request for a token, in milliseconds.
const WAIT_MS: u64 = 40;

/// Length of the windows in which admitted requests are counted, in milliseconds.
const WINDOW_MS: u64 = 5_000;

struct Run {
    admitted: Vec<u64>,
    requested: u64,
}

/// Sends `demand` requests per second, most of them to two VMs, for `seconds` seconds.
/// Messages are lost with the probability `loss`, and a VM restarts when `restart`
/// returns true for it and the time in milliseconds.
fn run(
    seed: u64,
    (rate, burst): (f64, f64),
    demand: f64,
    seconds: u64,
    loss: f64,
    restart: impl Fn(usize, u64) -> bool,
) -> Run {
    let mut rng = StdRng::seed_from_u64(seed);
    let part = |i: usize| if i < KEEPERS { KEEPERS } else { 0 };
    let fresh = |i: usize, now: Time| {
        let mut balance = TokenBalance::new(now);
        balance.set_limits(rate, burst, part(i), now);
        balance
    };
    let mut balances: Vec<TokenBalance> = (0..VMS).map(|i| fresh(i, Time::default())).collect();
    let mut next = [0_usize; VMS];
    let mut outcome = Run { admitted: Vec::new(), requested: 0 };
    for ms in (0..seconds * 1_000).step_by(STEP_MS as usize) {
        let now = Time::from_millis(ms);
        for (i, balance) in balances.iter_mut().enumerate() {
            if restart(i, ms) {
                *balance = fresh(i, now);
            }
        }
        if rng.random_bool((demand * STEP_MS as f64 / 1_000.0).min(1.0)) {
            let i = if rng.random_bool(0.7) {
                rng.random_range(0..2)
            } else {
                rng.random_range(0..VMS)
            };
            outcome.requested += 1;
            balances[i].record_demand(now);
            if balances[i].take(now) {
                outcome.admitted.push(ms);
            }
        }
        for i in 0..VMS {
            let waits = usize::from(outcome.requested > 0 && balances[i].tokens() < 1.0);
            let Some(wanted) = balances[i].next_request(waits, now) else { continue };
            next[i] += 1;
            let keeper = next[i] % KEEPERS;
            if keeper == i {
                balances[i].cancel_request();
                continue;
            }
            let granted = balances[keeper].grant(wanted, now);
            if !rng.random_bool(loss) {
                balances[i].receive(granted, KEEPERS, now);
            }
        }
    }
    outcome
}

/// Returns how many of `vms` VMs in four data centres are keepers of an account.
fn keepers_among(vms: usize, burst: f64) -> usize {
    keepers(&account(), burst, &data_centres(vms)).len()
}

fn account() -> AccountId {
    "press-line".parse().expect("a valid name")
}

fn data_centres(vms: usize) -> Vec<Vec<VmId>> {
    let vm = |i: usize| format!("vm-{i}").parse().expect("a valid name");
    (0..4).map(|data_centre| (data_centre..vms).step_by(4).map(vm).collect()).collect()
}

#[test]
fn a_data_centre_that_is_cut_off_removes_only_its_part_of_the_rate() {
    for (burst, least, most) in [(8.0, 2, 1), (14.0, 3, 1), (22.0, 3, 1), (300.0, 8, 2)] {
        let data_centres = data_centres(91);
        let keepers = keepers(&account(), burst, &data_centres);
        assert!(keepers.len() >= least, "{keepers:?}");
        for data_centre in &data_centres {
            let there = keepers.iter().filter(|vm| data_centre.contains(vm)).count();
            assert!(there <= most, "{there} of {} at {burst}", keepers.len());
        }
    }
}

#[test]
fn all_accounts_together_have_few_keepers() {
    let data_centres = data_centres(91);
    let account = |i: usize| -> AccountId { format!("account-{i}").parse().expect("a valid name") };
    let all: HashSet<VmId> =
        (0..88).flat_map(|i| keepers(&account(i), 300.0, &data_centres)).collect();
    assert!(all.len() <= 16, "{} VMs are keepers", all.len());
}

/// Sends `demand` requests per second evenly to `vms` VMs, of which the first few are
/// keepers. Returns the number of requests and the number refused after `WAIT_MS`.
fn send_evenly(
    seed: u64,
    vms: usize,
    (rate, burst): (f64, f64),
    demand: f64,
    seconds: u64,
) -> (u64, u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let keepers = keepers_among(vms, burst);
    let mut balances: Vec<TokenBalance> = (0..vms)
        .map(|i| {
            let mut balance = TokenBalance::new(Time::default());
            let part = if i < keepers { keepers } else { 0 };
            balance.set_limits(rate, burst, part, Time::default());
            balance
        })
        .collect();
    let (mut requested, mut refused) = (0, 0);
    let mut next = vec![0_usize; vms];
    let mut waiting: Vec<(usize, u64)> = Vec::new();
    for ms in (0..seconds * 1_000).step_by(STEP_MS as usize) {
        let now = Time::from_millis(ms);
        if rng.random_bool(demand * STEP_MS as f64 / 1_000.0) {
            let i = rng.random_range(0..vms);
            requested += 1;
            balances[i].record_demand(now);
            waiting.push((i, ms));
        }
        waiting.retain(|(i, since)| {
            let admitted = balances[*i].take(now);
            let late = ms - since >= WAIT_MS;
            refused += u64::from(late && !admitted);
            !admitted && !late
        });
        for i in 0..vms {
            let waits = waiting.iter().filter(|(vm, _)| *vm == i).count();
            let Some(wanted) = balances[i].next_request(waits, now) else { continue };
            next[i] += 1;
            let keeper = next[i] % keepers;
            if keeper == i {
                balances[i].cancel_request();
                continue;
            }
            let granted = balances[keeper].grant(wanted, now);
            balances[i].receive(granted, keepers, now);
        }
    }
    (requested, refused)
}

#[test]
fn a_small_account_spread_over_many_vms_is_not_refused_below_its_rate() {
    for seed in 0..6 {
        for (rate, burst) in [(22.0, 22.0), (9.0, 9.0), (147.0, 147.0)] {
            let (requested, refused) = send_evenly(seed, 91, (rate, burst), 0.6 * rate, 30);
            assert!(refused * 200 <= requested, "seed {seed}: {refused} of {requested} at {rate}");
        }
    }
}

fn most_in_a_window(admitted: &[u64]) -> usize {
    let count =
        |start: &u64| admitted.iter().filter(|ms| (*start..start + WINDOW_MS).contains(ms)).count();
    admitted.iter().map(count).max().unwrap_or_default()
}

fn bound(rate: f64, burst: f64) -> f64 {
    let window = Duration::from_millis(WINDOW_MS).as_secs_f64();
    (rate * window + burst) * 1.1 + 20.0
}

#[test]
fn no_window_holds_more_than_rate_and_burst_allow() {
    for seed in 0..12 {
        for (rate, burst) in [(115.0, 115.0), (21.0, 21.0), (300.0, 150.0)] {
            let outcome = run(seed, (rate, burst), 450.0, 12, 0.1, |_, _| false);
            let most = most_in_a_window(&outcome.admitted);
            assert!(most as f64 <= rate * 5.0 + burst + 1.0, "seed {seed}: {most} at {rate}");
        }
    }
}

#[test]
fn frequent_restarts_of_all_vms_admit_little_more_than_the_rate() {
    for seed in 0..12 {
        let (rate, burst) = (115.0, 115.0);
        let restarts = |_: usize, ms: u64| ms > 0 && ms.is_multiple_of(1_500);
        let outcome = run(seed, (rate, burst), 450.0, 14, 0.0, restarts);
        let most = most_in_a_window(&outcome.admitted);
        assert!(most as f64 <= bound(rate, burst), "seed {seed}: {most}");
    }
}

#[test]
fn few_requests_are_refused_below_the_rate() {
    for seed in 0..8 {
        let outcome = run(seed, (115.0, 115.0), 0.65 * 115.0, 20, 0.0, |_, _| false);
        let refused = outcome.requested - outcome.admitted.len() as u64;
        let share = refused as f64 / outcome.requested as f64;
        assert!(share < 0.01, "seed {seed}: {refused} of {} refused", outcome.requested);
    }
}
