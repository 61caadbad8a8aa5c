//! Purses admit no more than rate and burst allow, and refuse little below.

use std::{collections::HashSet, time::Duration};

use chicoryhollow_core::{
    AccountId, Time, VmId,
    allowance::{TokenBalance, keepers},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const VMS: usize = 9;
const KEEPERS: usize = 8;
const STEP_MS: u64 = 2;

/// Time for which a request waits for a token, in milliseconds.
const WAIT_MS: u64 = 40;

/// Window over which excess is judged, in milliseconds.
const WINDOW_MS: u64 = 5_000;

struct Run {
    admitted: Vec<u64>,
    asked: u64,
}

/// Sends `demand` requests a second, most of them to few VMs, for `seconds`;
/// messages are lost with `loss`, and VMs restart as `restart` says.
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
        let mut purse = TokenBalance::new(now);
        purse.set_limits(rate, burst, part(i), now);
        purse
    };
    let mut purses: Vec<TokenBalance> = (0..VMS).map(|i| fresh(i, Time::default())).collect();
    let mut next = [0_usize; VMS];
    let mut outcome = Run { admitted: Vec::new(), asked: 0 };
    for ms in (0..seconds * 1_000).step_by(STEP_MS as usize) {
        let now = Time::from_millis(ms);
        for (i, purse) in purses.iter_mut().enumerate() {
            if restart(i, ms) {
                *purse = fresh(i, now);
            }
        }
        if rng.random_bool((demand * STEP_MS as f64 / 1_000.0).min(1.0)) {
            let i = if rng.random_bool(0.7) {
                rng.random_range(0..2)
            } else {
                rng.random_range(0..VMS)
            };
            outcome.asked += 1;
            purses[i].record_demand(now);
            if purses[i].take(now) {
                outcome.admitted.push(ms);
            }
        }
        for i in 0..VMS {
            let waits = usize::from(outcome.asked > 0 && purses[i].tokens() < 1.0);
            let Some(wanted) = purses[i].next_request(waits, now) else { continue };
            next[i] += 1;
            let keeper = next[i] % KEEPERS;
            if keeper == i {
                purses[i].cancel_request();
                continue;
            }
            let lent = purses[keeper].grant(wanted, now);
            if !rng.random_bool(loss) {
                purses[i].receive(lent, KEEPERS, now);
            }
        }
    }
    outcome
}

/// Returns how many of `vms` VMs in four data centres keep an account.
fn keepers_among(vms: usize, burst: f64) -> usize {
    keepers(&account(), burst, &data_centres(vms)).len()
}

fn account() -> AccountId {
    "press-line".parse().expect("a valid name")
}

fn data_centres(vms: usize) -> Vec<Vec<VmId>> {
    let vm = |i: usize| format!("vm-{i}").parse().expect("a valid name");
    (0..4).map(|centre| (centre..vms).step_by(4).map(vm).collect()).collect()
}

#[test]
fn a_data_centre_that_is_cut_off_takes_its_part_of_the_rate_along() {
    for (burst, least, most) in [(8.0, 2, 1), (14.0, 3, 1), (22.0, 3, 1), (300.0, 8, 2)] {
        let centres = data_centres(91);
        let keepers = keepers(&account(), burst, &centres);
        assert!(keepers.len() >= least, "{keepers:?}");
        for centre in &centres {
            let there = keepers.iter().filter(|vm| centre.contains(vm)).count();
            assert!(there <= most, "{there} of {} at {burst}", keepers.len());
        }
    }
}

#[test]
fn the_keepers_of_all_accounts_are_few() {
    let centres = data_centres(91);
    let account = |i: usize| -> AccountId { format!("account-{i}").parse().expect("a valid name") };
    let all: HashSet<VmId> = (0..88).flat_map(|i| keepers(&account(i), 300.0, &centres)).collect();
    assert!(all.len() <= 16, "{} VMs keep accounts", all.len());
}

/// Sends `demand` requests a second evenly to `vms` VMs, of which the first few keep
/// the account; returns how many were asked and how many were refused, each
/// after `WAIT_MS`.
fn spread(
    seed: u64,
    vms: usize,
    (rate, burst): (f64, f64),
    demand: f64,
    seconds: u64,
) -> (u64, u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let keepers = keepers_among(vms, burst);
    let mut purses: Vec<TokenBalance> = (0..vms)
        .map(|i| {
            let mut purse = TokenBalance::new(Time::default());
            let part = if i < keepers { keepers } else { 0 };
            purse.set_limits(rate, burst, part, Time::default());
            purse
        })
        .collect();
    let (mut asked, mut refused) = (0, 0);
    let mut next = vec![0_usize; vms];
    let mut waiting: Vec<(usize, u64)> = Vec::new();
    for ms in (0..seconds * 1_000).step_by(STEP_MS as usize) {
        let now = Time::from_millis(ms);
        if rng.random_bool(demand * STEP_MS as f64 / 1_000.0) {
            let i = rng.random_range(0..vms);
            asked += 1;
            purses[i].record_demand(now);
            waiting.push((i, ms));
        }
        waiting.retain(|(i, since)| {
            let admitted = purses[*i].take(now);
            let late = ms - since >= WAIT_MS;
            refused += u64::from(late && !admitted);
            !admitted && !late
        });
        for i in 0..vms {
            let waits = waiting.iter().filter(|(vm, _)| *vm == i).count();
            let Some(wanted) = purses[i].next_request(waits, now) else { continue };
            next[i] += 1;
            let keeper = next[i] % keepers;
            if keeper == i {
                purses[i].cancel_request();
                continue;
            }
            let lent = purses[keeper].grant(wanted, now);
            purses[i].receive(lent, keepers, now);
        }
    }
    (asked, refused)
}

#[test]
fn a_small_account_spread_over_many_vms_is_not_refused_below_its_rate() {
    for seed in 0..6 {
        for (rate, burst) in [(22.0, 22.0), (9.0, 9.0), (147.0, 147.0)] {
            let (asked, refused) = spread(seed, 91, (rate, burst), 0.6 * rate, 30);
            assert!(refused * 200 <= asked, "seed {seed}: {refused} of {asked} at {rate}");
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
fn restarts_of_all_vms_stay_within_the_bound() {
    for seed in 0..12 {
        let (rate, burst) = (115.0, 115.0);
        let restarts = |_: usize, ms: u64| ms > 0 && ms.is_multiple_of(1_500);
        let outcome = run(seed, (rate, burst), 450.0, 14, 0.0, restarts);
        let most = most_in_a_window(&outcome.admitted);
        assert!(most as f64 <= bound(rate, burst), "seed {seed}: {most}");
    }
}

#[test]
fn little_is_refused_below_the_rate() {
    for seed in 0..8 {
        let outcome = run(seed, (115.0, 115.0), 0.65 * 115.0, 20, 0.0, |_, _| false);
        let refused = outcome.asked - outcome.admitted.len() as u64;
        let share = refused as f64 / outcome.asked as f64;
        assert!(share < 0.01, "seed {seed}: {refused} of {} refused", outcome.asked);
    }
}
