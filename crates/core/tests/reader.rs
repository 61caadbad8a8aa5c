//! Few VMs read the directory, but always at least one.

use std::time::Duration;

use chicoryhollow_core::{
    Time,
    reader::{READ_INTERVAL, Readers},
};

const STEP_MS: u64 = 50;

/// Time from one read to the next, in milliseconds.
const READ_MS: u64 = READ_INTERVAL.as_millis() as u64;

/// Simulates `vms` VMs of one data centre that all receive each other's reports. A VM's
/// reads succeed while `is_able` returns true for it and the time in milliseconds.
/// Returns how many VMs read at each step.
fn simulate(vms: usize, seconds: u64, is_able: impl Fn(usize, u64) -> bool) -> Vec<usize> {
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
            // The reads of different VMs end at different times.
            if is_able(i, ms) && (ms + i as u64 * 350).is_multiple_of(READ_MS) {
                own[i] = Some(now);
            }
        }
        counts.push(count);
    }
    counts
}

#[test]
fn only_one_vm_reads_while_the_directory_answers() {
    let counts = simulate(30, 30, |_, _| true);
    assert!(counts.iter().all(|count| *count == 1), "{counts:?}");
}

/// The first VM gets no answers after five seconds. A few others then read, and keep on
/// reading.
#[test]
fn a_few_others_take_over_from_a_reader_without_answers() {
    let counts = simulate(30, 60, |i, ms| i != 0 || ms < 5_000);
    let late = &counts[20_000 / STEP_MS as usize..];
    assert!(late.iter().all(|count| (2..=4).contains(count)), "{late:?}");
}

#[test]
fn few_vms_read_after_an_outage_of_the_directory() {
    let outage = 5_000..15_000;
    let counts = simulate(30, 40, |_, ms| !outage.contains(&ms));
    // The last read may have ended a whole read before the outage.
    let early = &counts[..6_000 / STEP_MS as usize];
    assert!(early.iter().all(|count| *count == 1), "{early:?}");
    let late = &counts[25_000 / STEP_MS as usize..];
    assert!(late.iter().all(|count| *count <= 3), "{late:?}");
}

#[test]
fn a_vm_without_reports_of_others_reads() {
    let mut readers = Readers::new(Time::default());
    readers.record_reads(Some(Time::from_millis(10_000)), Some(Time::from_millis(10_000)));
    let late = Time::default() + Duration::from_secs(6);
    assert!(readers.is_reader(200, late));
}

/// A network partition leaves a VM with links to others, none of which reads.
#[test]
fn a_vm_reads_soon_after_it_has_lost_its_links_to_all_readers() {
    let mut readers = Readers::new(Time::default());
    readers.record_reads(Some(Time::from_millis(5_000)), None);
    readers.record_lost(Time::from_millis(6_000));
    readers.record_lost(Time::from_millis(6_100));
    assert!(!readers.is_reader(1, Time::from_millis(6_200)));
    assert!(readers.is_reader(1, Time::from_millis(6_500)));
    assert!(!readers.is_reader(5, Time::from_millis(6_500)), "VMs ranked before it read first");
    readers.record_linked();
    assert!(!readers.is_reader(1, Time::from_millis(6_500)));
}
