//! Distribution of versions of the configuration to all VMs, over links and a
//! platform that lose messages.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use chicoryhollow_config::{
    Configuration, ConfigurationState, ContentHash, DataCentre, Delta,
    configuration::Service,
    publish::{ApplyId, Published, Versioned},
    reader::{Action, Member, Offer, OfferError},
};
use chicoryhollow_core::{DataCentreId, Time, VmId};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Time within which a published version must be active on all VMs.
const ACTIVATION_TARGET: Duration = Duration::from_millis(5_000);

/// A timer tick or a message that arrives at a VM.
enum Event {
    Tick,
    Ask(usize, u64),
    Offer(usize, Offer),
    Row(Option<Versioned>),
    Object(String, Option<Vec<u8>>),
}

struct Vm {
    member: Member,
    state: ConfigurationState,
    active: u64,
    up: bool,
}

/// Simulated VMs and platform; messages are delayed or lost.
struct Fleet {
    rng: StdRng,
    now: Time,
    queue: BTreeMap<(Time, u64), (usize, Event)>,
    sent: u64,
    vms: Vec<Vm>,
    names: HashMap<VmId, usize>,
    row: Option<Versioned>,
    objects: HashMap<String, Vec<u8>>,
    versions: Vec<Configuration>,
    /// Fraction of messages and platform requests that are lost.
    loss: f64,
    /// Data centres that cannot reach the platform.
    disconnected: Vec<DataCentreId>,
    row_reads: u64,
    offer_bytes: u64,
}

impl Fleet {
    fn new(seed: u64, data_centres: usize, vms: usize) -> Self {
        let mut fleet = Fleet {
            rng: StdRng::seed_from_u64(seed),
            now: Time::from_millis(1_000),
            queue: BTreeMap::new(),
            sent: 0,
            vms: Vec::new(),
            names: HashMap::new(),
            row: None,
            objects: HashMap::new(),
            versions: vec![Configuration::default()],
            loss: 0.0,
            disconnected: Vec::new(),
            row_reads: 0,
            offer_bytes: 0,
        };
        (0..vms).for_each(|i| fleet.add(i, i % data_centres));
        fleet.set_members_of_all();
        fleet
    }

    fn add(&mut self, index: usize, data_centre: usize) {
        let vm: VmId = format!("vm-{index}").parse().expect("a valid name");
        let data_centre: DataCentreId = format!("d{data_centre}").parse().expect("a valid name");
        let state = ConfigurationState::new(vm.clone(), data_centre.clone(), self.now);
        self.names.insert(vm.clone(), index);
        let member = Member { vm, data_centre };
        self.vms.push(Vm { member, state, active: 0, up: true });
        self.send(index, Event::Tick, 0);
    }

    fn set_members_of_all(&mut self) {
        let members: Vec<_> = self.vms.iter().map(|vm| vm.member.clone()).collect();
        self.vms.iter_mut().for_each(|vm| vm.state.set_members(members.clone()));
    }

    /// Restarts a VM, which then has no configuration.
    fn restart(&mut self, index: usize) {
        let Member { vm, data_centre } = self.vms[index].member.clone();
        self.vms[index].state = ConfigurationState::new(vm, data_centre, self.now);
        self.vms[index].active = 0;
        self.vms[index].up = true;
        let members: Vec<_> = self.vms.iter().map(|vm| vm.member.clone()).collect();
        self.vms[index].state.set_members(members);
    }

    /// Publishes a change of one data centre.
    fn publish(&mut self) {
        let mut next = self.versions[self.versions.len() - 1].clone();
        let name = format!("d{}", self.rng.random_range(0..30));
        let service = if self.rng.random_bool(0.5) { Service::In } else { Service::Out };
        next.data_centres.insert(name.parse().expect("a valid name"), DataCentre { service });
        let hash = ContentHash::new(&next);
        let value = Published::new(hash, ApplyId::new(self.sent));
        let json = |value: Result<Vec<u8>, _>| value.expect("a configuration is always JSON");
        self.objects.insert(hash.object_name(), json(serde_json::to_vec(&next)));
        let value = match &self.row {
            None => value,
            Some(row) => {
                let delta = Delta::new(&self.versions[self.versions.len() - 1], &next);
                let name = row.value.hash.delta_object_name(&hash);
                self.objects.insert(name, json(serde_json::to_vec(&delta)));
                value.with_base(row)
            }
        };
        self.row = Some(Versioned { version: self.versions.len() as u64, value });
        self.versions.push(next);
    }

    fn version(&self) -> u64 {
        self.versions.len() as u64 - 1
    }

    fn send(&mut self, to: usize, event: Event, delay_ms: u64) {
        self.sent += 1;
        let at = self.now + Duration::from_millis(delay_ms);
        self.queue.insert((at, self.sent), (to, event));
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), (to, event)) = entry.remove_entry();
            self.now = at;
            self.deliver(to, event);
        }
        self.now = end;
    }

    fn deliver(&mut self, to: usize, event: Event) {
        let now = self.now;
        if matches!(event, Event::Tick) {
            self.send(to, Event::Tick, 50);
        }
        if !self.vms[to].up {
            return;
        }
        let from = match &event {
            Event::Ask(from, _) | Event::Offer(from, _) => self.vms[*from].member.vm.clone(),
            _ => self.vms[to].member.vm.clone(),
        };
        let state = &mut self.vms[to].state;
        let actions = match event {
            Event::Tick => state.tick(now, &mut self.rng),
            Event::Ask(_, version) => state.handle_ask(from, version, now),
            Event::Offer(_, offer) => state.handle_offer(&from, &offer, now).unwrap_or_default(),
            Event::Row(row) => state.handle_row(row, now),
            Event::Object(name, bytes) => state.handle_object(&name, bytes, now),
        };
        actions.into_iter().for_each(|action| self.execute(to, action));
    }

    fn execute(&mut self, vm: usize, action: Action) {
        let delay = self.rng.random_range(0..40);
        let lost = self.rng.random_bool(self.loss);
        let reachable = !lost && !self.disconnected.contains(&self.vms[vm].member.data_centre);
        match action {
            Action::Activate(versioned) => {
                self.activate(vm, versioned.version, &versioned.configuration)
            }
            Action::Ask(peer, version) if !lost => {
                self.send(self.names[&peer], Event::Ask(vm, version), delay);
            }
            Action::Send(peer, offer) if !lost => {
                self.offer_bytes += offer.json().len() as u64;
                self.send(self.names[&peer], Event::Offer(vm, offer), delay);
            }
            Action::ReadRow => {
                self.row_reads += 1;
                if reachable {
                    self.send(vm, Event::Row(self.row.clone()), delay);
                }
            }
            Action::ReadObject(name) => {
                let bytes = self.objects.get(&name).filter(|_| reachable).cloned();
                self.send(vm, Event::Object(name, bytes), delay);
            }
            Action::Ask(..) | Action::Send(..) => {}
        }
    }

    fn activate(&mut self, vm: usize, version: u64, configuration: &Configuration) {
        let before = std::mem::replace(&mut self.vms[vm].active, version);
        assert!(version > before, "vm {vm} went from version {before} to {version}");
        assert_eq!(
            *configuration, self.versions[version as usize],
            "version {version} has wrong content"
        );
    }

    fn behind(&self) -> Vec<usize> {
        let version = self.version();
        let behind = |i: &usize| self.vms[*i].up && self.vms[*i].active != version;
        (0..self.vms.len()).filter(behind).collect()
    }
}

#[test]
fn a_version_is_active_on_all_vms_within_the_target_time() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, 3, 60);
        fleet.publish();
        fleet.run(ACTIVATION_TARGET);
        for _ in 0..10 {
            fleet.publish();
            fleet.run(ACTIVATION_TARGET);
            assert_eq!(fleet.behind(), [0; 0], "seed {seed}");
        }
    }
}

#[test]
fn versions_never_decrease_and_converge_after_message_loss() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(seed, 3, 40);
        fleet.publish();
        for round in 0..30 {
            fleet.loss = fleet.rng.random_range(0.0..0.6);
            let index = fleet.rng.random_range(0..fleet.vms.len());
            match fleet.rng.random_range(0..4) {
                0 => fleet.publish(),
                1 => fleet.vms[index].up = false,
                2 => fleet.restart(index),
                _ => {
                    let centre = fleet.vms[index].member.data_centre.clone();
                    fleet.disconnected = if round % 2 == 0 { vec![centre] } else { Vec::new() };
                }
            }
            let span = fleet.rng.random_range(0..1_500);
            fleet.run(Duration::from_millis(span));
        }
        fleet.loss = 0.0;
        fleet.disconnected.clear();
        for index in 0..fleet.vms.len() {
            fleet.vms[index].up = true;
        }
        fleet.run(2 * ACTIVATION_TARGET);
        assert_eq!(fleet.behind(), [0; 0], "seed {seed}");
    }
}

#[test]
fn a_data_centre_without_the_platform_gets_versions_from_others() {
    let mut fleet = Fleet::new(7, 3, 60);
    fleet.publish();
    fleet.run(ACTIVATION_TARGET);
    fleet.disconnected = vec!["d1".parse().expect("a valid name")];
    fleet.run(ACTIVATION_TARGET);
    for _ in 0..5 {
        fleet.publish();
        fleet.run(ACTIVATION_TARGET);
        assert_eq!(fleet.behind(), [0; 0]);
    }
}

#[test]
fn vms_whose_parent_does_not_answer_get_versions_from_others() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, 2, 60);
        fleet.publish();
        fleet.run(ACTIVATION_TARGET);
        let disconnected: DataCentreId = "d1".parse().expect("a valid name");
        let inside = |vm: &Vm| vm.member.data_centre == disconnected;
        let reads = |vm: &Vm| !vm.state.has_parent();
        let parent = fleet.vms.iter().position(|vm| inside(vm) && reads(vm)).expect("a reader");
        fleet.disconnected = vec![disconnected.clone()];
        fleet.vms[parent].up = false;
        fleet.publish();
        fleet.run(3 * ACTIVATION_TARGET);
        assert_eq!(fleet.behind(), [0; 0], "seed {seed}");
    }
}

#[test]
fn a_vm_that_starts_without_the_platform_activates_the_newest_version_of_its_peers() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(seed, 3, 9);
        fleet.publish();
        fleet.publish();
        fleet.run(ACTIVATION_TARGET);
        fleet.disconnected =
            (0..3).map(|i| format!("d{i}").parse().expect("a valid name")).collect();
        fleet.restart(4);
        fleet.run(ACTIVATION_TARGET);
        assert_eq!(fleet.vms[4].active, 2, "seed {seed}");
    }
}

#[test]
fn a_vm_that_starts_waits_for_the_platform_before_it_activates_a_version_of_a_peer() {
    let mut fleet = Fleet::new(1, 1, 2);
    fleet.publish();
    fleet.run(ACTIVATION_TARGET);
    fleet.restart(1);
    let requester = fleet.vms[1].member.vm.clone();
    let old_offers = fleet.vms[0].state.handle_ask(requester, 0, fleet.now);
    fleet.vms[0].up = false;
    fleet.publish();
    let Some(Action::Send(_, offer)) = old_offers.into_iter().next() else {
        panic!("an offer was expected");
    };
    fleet.send(1, Event::Offer(0, offer), 0);
    fleet.run(Duration::from_millis(10));
    assert_eq!((fleet.vms[1].state.version(), fleet.vms[1].active), (1, 0));
    fleet.run(ACTIVATION_TARGET);
    assert_eq!(fleet.vms[1].active, 2);
}

#[test]
fn the_age_grows_while_the_platform_is_unreachable() {
    let mut fleet = Fleet::new(3, 3, 30);
    fleet.publish();
    fleet.run(3 * ACTIVATION_TARGET);
    let age_range = |fleet: &Fleet| {
        let ages = fleet.vms.iter().map(|vm| vm.state.age(fleet.now).expect("it was confirmed"));
        (ages.clone().min(), ages.max())
    };
    assert!(age_range(&fleet).1 < Some(2 * ACTIVATION_TARGET), "{:?}", age_range(&fleet));
    fleet.disconnected = (0..3).map(|i| format!("d{i}").parse().expect("a valid name")).collect();
    fleet.run(6 * ACTIVATION_TARGET);
    assert!(age_range(&fleet).0 >= Some(6 * ACTIVATION_TARGET), "{:?}", age_range(&fleet));
}

#[test]
fn only_two_vms_of_a_data_centre_read_the_platform() {
    let mut fleet = Fleet::new(5, 4, 400);
    fleet.publish();
    fleet.run(2 * ACTIVATION_TARGET);
    fleet.row_reads = 0;
    fleet.run(Duration::from_secs(20));
    // Two readers in each of four data centres read about once a second.
    assert!((120..=200).contains(&fleet.row_reads), "{} reads in 20 s", fleet.row_reads);
}

#[test]
fn an_offer_with_another_base_causes_no_request_for_a_whole_configuration() {
    let hash = ContentHash::new(&Configuration::default());
    let vm: VmId = "b".parse().expect("a valid name");
    let now = Time::default();
    let rng = &mut StdRng::seed_from_u64(1);
    let own = "a".parse().expect("a valid name");
    let mut state = ConfigurationState::new(own, "d".parse().expect("a valid name"), now);
    state.handle_offer(&vm, &Offer::new(5, hash, "{}"), now).expect("a whole configuration");
    let offer = Offer::new(7, hash, "{}").with_base(4);
    assert!(matches!(state.handle_offer(&vm, &offer, now), Err(OfferError::Base { .. })));
    let members = ["a", "b", "c", "e"].map(|name| Member {
        vm: name.parse().expect("a valid name"),
        data_centre: "d".parse().expect("a valid name"),
    });
    state.set_members(members);
    let later = now + 2 * ACTIVATION_TARGET;
    let asks = state.tick(later, rng);
    let versions = asks.iter().filter_map(|action| match action {
        Action::Ask(_, version) => Some(*version),
        _ => None,
    });
    assert!(versions.clone().count() > 0 && versions.clone().all(|v| v == 5), "{asks:?}");
}

#[test]
fn a_late_answer_of_the_platform_does_not_confirm_the_version() {
    let rng = &mut StdRng::seed_from_u64(1);
    let hash = ContentHash::new(&Configuration::default());
    let value = Published::new(hash, ApplyId::new(1));
    let row = || Some(Versioned { version: 1, value: value.clone() });
    let own = "a".parse().expect("a valid name");
    let start = Time::from_millis(1_000);
    let mut state = ConfigurationState::new(own, "d".parse().expect("a valid name"), start);
    assert!(state.tick(start, rng).contains(&Action::ReadRow));
    state.handle_row(row(), start);
    state.handle_object(&hash.object_name(), Some(b"{}".to_vec()), start);
    assert_eq!(state.age(start), Some(Duration::ZERO));
    let first = start + 2 * ACTIVATION_TARGET;
    assert!(state.tick(first, rng).contains(&Action::ReadRow));
    let second = first + 2 * ACTIVATION_TARGET;
    assert!(state.tick(second, rng).contains(&Action::ReadRow));
    state.handle_row(row(), second);
    assert_eq!(state.age(second), Some(2 * ACTIVATION_TARGET), "it may answer the first read");
    state.handle_row(row(), second + ACTIVATION_TARGET);
    assert_eq!(
        state.age(second + ACTIVATION_TARGET),
        Some(3 * ACTIVATION_TARGET),
        "it cannot answer a later read"
    );
}

#[test]
fn arbitrary_offers_are_accepted_only_with_the_right_hash() {
    let hash = ContentHash::new(&Configuration::default());
    let vm: VmId = "b".parse().expect("a valid name");
    let offers = bolero::check!().with_type::<(u8, Option<u8>, bool, Vec<u8>)>();
    offers.for_each(|(version, base, right, json)| {
        let now = Time::default();
        let own = "a".parse().expect("a valid name");
        let mut state = ConfigurationState::new(own, "d".parse().expect("a valid name"), now);
        state.handle_offer(&vm, &Offer::new(3, hash, "{}"), now).expect("a whole configuration");
        let other = ContentHash::from_bytes(&[7; 32]).expect("32 bytes");
        let named = if *right { hash } else { other };
        let offer = Offer::new(u64::from(*version), named, json.clone());
        let offer = match base {
            Some(base) => offer.with_base(u64::from(*base)),
            None => offer,
        };
        match state.handle_offer(&vm, &offer, now) {
            Ok(_) => assert!(state.version() == 3 || *right),
            Err(_) => assert_eq!(state.version(), 3),
        }
    });
}

#[test]
fn offers_with_wrong_content_hash_or_base_are_refused() {
    let hash = ContentHash::new(&Configuration::default());
    let vm = |name: &str| name.parse::<VmId>().expect("a valid name");
    let now = Time::default();
    let mut state = ConfigurationState::new(vm("a"), "d".parse().expect("a valid name"), now);
    let other = ContentHash::from_bytes(&[7; 32]).expect("32 bytes");
    let cases = [
        (Offer::new(1, hash, "nonsense"), "malformed"),
        (Offer::new(1, other, "{}"), "the content has hash"),
        (Offer::new(2, hash, "{}").with_base(1), "the difference starts from version 1"),
    ];
    for (offer, expected) in cases {
        let error = state.handle_offer(&vm("b"), &offer, now).expect_err(expected);
        assert!(error.to_string().starts_with(expected), "{error}");
        assert_eq!(state.version(), 0);
    }
    state.handle_offer(&vm("b"), &Offer::new(1, hash, "{}"), now).expect("a whole configuration");
    let damaged = Offer::new(2, other, "{}").with_base(1);
    let error = state.handle_offer(&vm("b"), &damaged, now).expect_err("a wrong hash");
    assert!(matches!(error, OfferError::Hash { .. }));
    assert_eq!(state.version(), 1);
    let good = Offer::new(2, hash, "{}").with_base(1);
    state.handle_offer(&vm("b"), &good, now).expect("the state is intact after a damaged offer");
    assert_eq!(state.version(), 2);
}
