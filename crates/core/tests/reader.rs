//! Few VMs read the directory, and never none.

use std::time::Duration;

use chicoryhollow_core::{Time, reader::Readers};

const STEP_MS: u64 = 50;

/// Time that a reading takes at most, in milliseconds.
const READING_MS: u64 = 2_000;

/// Plays `vms` VMs of one data centre, of which only those that `able` names get
/// answers, and all of which hear each other; returns how many read at each step.
fn play(vms: usize, seconds: u64, able: impl Fn(usize, u64) -> bool) -> Vec<usize> {
    let mut readers = vec![Readers::new(Time::default()); vms];
    let mut own: Vec<Option<Time>> = vec![None; vms];
    let mut counts = Vec::new();
    for ms in (0..seconds * 1_000).step_by(STEP_MS as usize) {
        let now = Time::from_millis(ms);
        let mut count = 0;
        for i in 0..vms {
            let others = (0..vms).filter(|j| *j != i).filter_map(|j| own[j]).max();
            readers[i].record_reads(others, own[i]);
            if !readers[i].is_reader(i, now) {
                continue;
            }
            count += 1;
            // Each VM's calls end at moments of their own.
            if able(i, ms) && (ms + i as u64 * 350).is_multiple_of(READING_MS) {
                own[i] = Some(now);
            }
        }
        counts.push(count);
    }
    counts
}

#[test]
fn one_vm_reads_on_a_calm_day() {
    let counts = play(30, 30, |_, _| true);
    assert!(counts.iter().all(|count| *count == 1), "{counts:?}");
}

#[test]
fn others_take_over_from_one_that_gets_no_answers_and_stay() {
    let counts = play(30, 60, |i, ms| i != 0 || ms < 5_000);
    let late = &counts[20_000 / STEP_MS as usize..];
    assert!(late.iter().all(|count| (2..=4).contains(count)), "{late:?}");
}

#[test]
fn an_outage_makes_vms_ask_one_after_the_other() {
    let outage = 5_000..15_000;
    let counts = play(30, 40, |_, ms| !outage.contains(&ms));
    // The last reading may lie a whole reading before the outage.
    let early = &counts[..6_000 / STEP_MS as usize];
    assert!(early.iter().all(|count| *count == 1), "{early:?}");
    let late = &counts[25_000 / STEP_MS as usize..];
    assert!(late.iter().all(|count| *count <= 3), "{late:?}");
}

#[test]
fn a_vm_that_hears_nobody_reads() {
    let mut readers = Readers::new(Time::default());
    readers.record_reads(Some(Time::from_millis(10_000)), Some(Time::from_millis(10_000)));
    let late = Time::default() + Duration::from_secs(6);
    assert!(readers.is_reader(200, late));
}
