//! Measures the cost of a configuration change on one VM, by the number of
//! database groups: `cargo run --release -p chicoryhollow-config --example cost`.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use chicoryhollow_config::{
    Account, Burst, Configuration, ConfigurationState, ContentHash, Delta, Group, Key, Rate, Route,
    Server, Verifier, reader::Offer,
};
use chicoryhollow_core::Time;

/// Numbers of groups to measure with.
const GROUP_COUNTS: [usize; 4] = [170, 1_700, 17_000, 51_000];

/// Number of changes over which the mean is computed.
const CHANGES: u64 = 50;

fn main() {
    println!("groups  whole KB  delta B  hash ms  parse ms  change ms  bytes held MB");
    for count in GROUP_COUNTS {
        measure(count);
    }
}

fn measure(count: usize) {
    let mut configuration = configuration(count);
    let json = serde_json::to_vec(&configuration).expect("a configuration is JSON");
    let (hash, hashed) = timed(|| ContentHash::new(&configuration));
    let before = resident_bytes();
    let (mut state, parsed) = timed(|| start(&json, hash));
    let held = resident_bytes().saturating_sub(before);
    let mut offers = Vec::new();
    for version in 2..2 + CHANGES {
        let mut next = configuration.clone();
        let index = version as usize % count;
        next.accounts[index].weight += 1;
        let delta = Delta::new(&configuration, &next);
        let json = serde_json::to_vec(&delta).expect("a difference is JSON");
        offers.push(Offer::new(version, ContentHash::new(&next), json).with_base(version - 1));
        configuration = next;
    }
    let delta_bytes = offers[0].json().len();
    let ((), changed) = timed(|| offers.iter().for_each(|offer| accept(&mut state, offer)));
    println!(
        "{count:>6}  {:>8}  {delta_bytes:>7}  {:>7.2}  {:>8.2}  {:>9.2}  {:>13.1}",
        json.len() / 1_000,
        millis(hashed),
        millis(parsed),
        millis(changed) / CHANGES as f64,
        held as f64 / 1e6,
    );
}

fn start(json: &[u8], hash: ContentHash) -> ConfigurationState {
    let (vm, data_centre) = ("vm-1".parse(), "a".parse());
    let now = Time::default();
    let mut state = ConfigurationState::new(vm.expect("a name"), data_centre.expect("a name"), now);
    accept(&mut state, &Offer::new(1, hash, json.to_vec()));
    state
}

fn accept(state: &mut ConfigurationState, offer: &Offer) {
    let peer = "vm-2".parse().expect("a name");
    black_box(state.handle_offer(&peer, offer, Time::default())).expect("an offer that fits");
}

/// Creates groups of three servers, each with an account, a key and a route.
fn configuration(count: usize) -> Configuration {
    let mut configuration = Configuration::default();
    let verifier = Verifier::new("key", [7; 16], 1);
    for number in 0..count {
        let text = format!("department-{number}");
        let mut group = Group::default();
        for server in 0..3_u8 {
            let [_, high, middle, low] = u32::try_from(number).expect("a count").to_be_bytes();
            let address = ([10, high, middle, low], 5_432 + u16::from(server)).into();
            let data_centre = format!("dc-{}", (number + usize::from(server)) % 20);
            let value = Server {
                address,
                data_centre: data_centre.parse().expect("a name"),
                slots: 3,
                connections: 20,
                service: Default::default(),
            };
            group.servers.insert(format!("{text}-{server}").parse().expect("a name"), value);
        }
        let name = || text.parse().expect("a name");
        configuration.groups.insert(text.parse().expect("a name"), group);
        let (rate, burst) = (Rate::new(40.0).expect("a rate"), Burst::new(20.0).expect("a burst"));
        configuration.accounts.insert(name(), Account { rate, burst, weight: 1 });
        let key = Key { account: name(), verifier: verifier.clone() };
        configuration.keys.insert(text.parse().expect("a name"), key);
        let route = Route {
            group: text.parse().expect("a name"),
            accounts: vec![name()],
            open_account: None,
            max_age_ms: None,
            idempotent: false,
        };
        configuration.routes.insert(text.parse().expect("a name"), route);
    }
    configuration
}

fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let start = Instant::now();
    let result = work();
    (result, start.elapsed())
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

/// Returns the resident memory of this process in bytes, or 0 if the operating
/// system does not report it.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
