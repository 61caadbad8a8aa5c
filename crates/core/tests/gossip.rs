//! A large fleet whose VMs tell their neighbours what is new about database groups.

use std::collections::HashMap;

use chicoryhollow_core::{
    DataCentreId, Lsn, Position, Term, Time, VmId,
    failover::{Announcement, FailoverNumber},
    gossip::{GroupSummary, LastSent, Spacing, Update},
    neighbour::{Location, choose_neighbours},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const VMS: usize = 300;
const CENTRES: usize = 5;
const GROUPS: usize = 20;

/// Interval of heartbeats between neighbours, in milliseconds.
const HEARTBEAT_MS: u64 = 500;

/// Time until a new primary is told, in milliseconds.
const NEWS_MS: u64 = 10;

/// Time for which a message is under way, in milliseconds.
const DELAY_MS: u64 = 2;

/// Extra time of a message whose packet is lost and sent again, in milliseconds.
const RETRANSMISSION_MS: u64 = 200;

/// Time from the start of a failover until it may order a promotion, in milliseconds.
const ANNOUNCEMENT_MS: u64 = 200;

/// Message to `.0` from `.1` about groups.
type Message = (usize, usize, Vec<(usize, GroupSummary)>);

struct Fleet {
    rng: StdRng,
    /// Neighbours of each VM and whether they are near.
    neighbours: Vec<Vec<(usize, bool)>>,
    known: Vec<Vec<GroupSummary>>,
    told: HashMap<(usize, usize), Vec<LastSent>>,
    /// Messages by the time of their arrival.
    in_flight: HashMap<u64, Vec<Message>>,
    /// When each VM will tell its neighbours of a new primary.
    urgent: Vec<Option<u64>>,
    entries: usize,
    loss: f64,
}

impl Fleet {
    fn new(seed: u64, loss: f64) -> Self {
        let vms: Vec<VmId> =
            (0..VMS).map(|i| format!("vm-{i}").parse().expect("a valid name")).collect();
        let centres: Vec<DataCentreId> =
            (0..CENTRES).map(|i| format!("dc-{i}").parse().expect("a valid name")).collect();
        let locations: Vec<Location<'_>> = vms
            .iter()
            .enumerate()
            .map(|(i, vm)| Location { vm, data_centre: &centres[i % CENTRES] })
            .collect();
        let mut neighbours = vec![Vec::new(); VMS];
        for i in 0..VMS {
            for name in choose_neighbours(locations[i], &locations) {
                let j = vms.iter().position(|vm| *vm == name).expect("a member");
                for (from, to) in [(i, j), (j, i)] {
                    if !neighbours[from].iter().any(|(other, _)| *other == to) {
                        neighbours[from].push((to, i % CENTRES == j % CENTRES));
                    }
                }
            }
        }
        Fleet {
            rng: StdRng::seed_from_u64(seed),
            neighbours,
            known: vec![vec![GroupSummary::default(); GROUPS]; VMS],
            told: HashMap::new(),
            in_flight: HashMap::new(),
            urgent: vec![None; VMS],
            entries: 0,
            loss,
        }
    }

    fn learn(&mut self, vm: usize, group: usize, news: GroupSummary, ms: u64) {
        let known = &mut self.known[vm][group];
        if news.term > known.term {
            self.urgent[vm].get_or_insert(ms + NEWS_MS);
        }
        known.term = known.term.max(news.term);
        let is_newer = news.acknowledged > known.acknowledged;
        known.acknowledged = known.acknowledged.max(news.acknowledged);
        if news.failover.is_some_and(|failover| failover.is_newer(known.failover.as_ref())) {
            known.failover = news.failover;
            self.urgent[vm].get_or_insert(ms + NEWS_MS);
        }
        if is_newer && known.is_replaced(Time::from_millis(ms)) {
            self.urgent[vm].get_or_insert(ms + NEWS_MS);
        }
        known.asked = known.asked.max(news.asked);
    }

    /// Returns what `from` has told `to` about each group.
    fn told_by(&mut self, from: usize, to: usize) -> &mut Vec<LastSent> {
        self.told.entry((from, to)).or_insert_with(|| vec![LastSent::default(); GROUPS])
    }

    fn tell(&mut self, from: usize, ms: u64) {
        for (to, near) in self.neighbours[from].clone() {
            let now = Time::from_millis(ms);
            let neighbours = self.neighbours[from].len();
            let spacing = Spacing::new(near, GROUPS).with_neighbours(neighbours);
            let mut entries = Vec::new();
            for (group, known) in self.known[from].clone().into_iter().enumerate() {
                let told = &mut self.told_by(from, to)[group];
                if told.update(&known, spacing, now) != Update::None {
                    told.record(known, now);
                    entries.push((group, known));
                }
            }
            self.entries += entries.len();
            let lost = self.rng.random_bool(self.loss);
            let arrival = ms + DELAY_MS + if lost { RETRANSMISSION_MS } else { 0 };
            self.in_flight.entry(arrival).or_default().push((to, from, entries));
        }
    }

    /// Runs the fleet for `span` ms. Each millisecond some VM gets an answer of a primary
    /// that carries a newer position.
    fn run(&mut self, start: u64, span: u64) {
        for ms in start..start + span {
            for (to, from, entries) in self.in_flight.remove(&ms).unwrap_or_default() {
                for (group, news) in entries {
                    self.told_by(to, from)[group].record_received(&news);
                    self.learn(to, group, news, ms);
                }
            }
            let (vm, group) = (self.rng.random_range(0..VMS), self.rng.random_range(0..GROUPS));
            let position = Position::new(Term::new(1), Lsn::new(ms));
            let asked = Some(Time::from_millis(ms));
            let news = GroupSummary { acknowledged: position, asked, ..GroupSummary::default() };
            self.learn(vm, group, news, ms);
            for vm in 0..VMS {
                let urgent = self.urgent[vm].is_some_and(|due| due <= ms);
                if urgent || (ms + vm as u64 * 37).is_multiple_of(HEARTBEAT_MS) {
                    self.urgent[vm] = None;
                    self.tell(vm, ms);
                }
            }
        }
    }
}

#[test]
fn a_calm_fleet_tells_positions_at_their_pace() {
    let mut fleet = Fleet::new(1, 0.0);
    fleet.run(0, 2_000);
    fleet.entries = 0;
    fleet.run(2_000, 10_000);
    let links: usize = fleet.neighbours.iter().map(Vec::len).sum();
    // One entry for each group and heartbeat was the cost of telling everything.
    let everything = links * GROUPS * 10_000 / HEARTBEAT_MS as usize;
    assert!(fleet.entries * 3 < everything * 2, "{} of {everything}", fleet.entries);
}

#[test]
fn what_a_neighbour_has_told_is_not_told_back() {
    let spacing = Spacing::new(true, GROUPS);
    let now = Time::from_millis(1_000);
    let position = Position::new(Term::new(1), Lsn::new(7));
    let known = GroupSummary {
        term: Term::new(1),
        acknowledged: position,
        asked: Some(Time::from_millis(900)),
        ..GroupSummary::default()
    };
    let mut last = LastSent::default();
    last.record_received(&known);
    assert_eq!(last.update(&known, spacing, now), Update::None);
    let newer = GroupSummary { asked: Some(Time::from_millis(950)), ..known };
    assert_eq!(last.update(&newer, spacing, now), Update::Positions);
    let failing = GroupSummary { failing: Some(now), ..known };
    assert_eq!(last.update(&failing, spacing, now), Update::Failure);
}

/// In a large fleet many neighbours tell nearly the same.
#[test]
fn a_vm_with_many_neighbours_tells_only_much_newer_positions() {
    let now = Time::from_millis(2_000);
    let at = |ms| GroupSummary { asked: Some(Time::from_millis(ms)), ..GroupSummary::default() };
    let mut last = LastSent::default();
    last.record(at(900), Time::from_millis(1_000));
    let update = |ms, neighbours| {
        last.update(&at(ms), Spacing::new(true, GROUPS).with_neighbours(neighbours), now)
    };
    assert_eq!(update(1_000, 5), Update::Positions);
    assert_eq!(update(1_000, 14), Update::None);
    assert_eq!(update(1_400, 14), Update::Positions);
}

#[test]
fn positions_are_recent_on_all_vms() {
    let mut fleet = Fleet::new(2, 0.0);
    fleet.run(0, 8_000);
    let now = Time::from_millis(8_000);
    let age = |known: &GroupSummary| known.asked.map(|asked| now.since(asked).as_millis());
    let ages: Vec<u128> = fleet.known.iter().flatten().filter_map(age).collect();
    assert_eq!(ages.len(), VMS * GROUPS);
    let recent = ages.iter().filter(|age| **age < 1_480).count();
    assert!(recent * 100 >= ages.len() * 95, "{recent} of {}", ages.len());
}

#[test]
fn all_vms_learn_of_a_new_primary_within_a_second_while_packets_are_lost() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed, 0.025);
        fleet.run(0, 2_000);
        let news = GroupSummary { term: Term::new(2), ..GroupSummary::default() };
        fleet.learn(seed as usize * 7, 3, news, 2_000);
        fleet.run(2_000, 1_000);
        let unaware = fleet.known.iter().filter(|known| known[3].term < Term::new(2)).count();
        assert_eq!(unaware, 0, "seed {seed}");
    }
}

#[test]
fn a_failure_and_its_end_are_told_once_each() {
    let spacing = Spacing::new(true, GROUPS);
    let mut told = LastSent::default();
    let failing = GroupSummary { failing: Some(Time::from_millis(5)), ..GroupSummary::default() };
    let now = Time::from_millis(10);
    assert_eq!(told.update(&failing, spacing, now), Update::Failure);
    told.record(failing, now);
    assert_eq!(told.update(&failing, spacing, now), Update::None);
    assert_eq!(told.update(&GroupSummary::default(), spacing, now), Update::Failure);
}

#[test]
fn the_positions_of_many_groups_are_told_less_often() {
    let near = |groups| Spacing::new(true, groups).interval();
    assert!(near(17_000) > near(100) && near(100) > near(1));
    let bytes = |groups: usize| 40.0 * groups as f64 / near(groups).as_secs_f64();
    assert!(bytes(1_000) < 2_100.0, "{}", bytes(1_000));
}

/// A failover that was abandoned before it fenced anybody left its term to the next one, of which
/// nobody was told.
#[test]
fn a_second_failover_of_the_same_term_is_told_at_once() {
    let spacing = Spacing::new(false, GROUPS);
    let failover = |number, begun| Announcement {
        number: FailoverNumber::new(number),
        replaced: Term::new(2),
        begun: Time::from_millis(begun),
        ordered: false,
    };
    let known = |failover| GroupSummary {
        term: Term::new(2),
        failover: Some(failover),
        ..GroupSummary::default()
    };
    let mut last = LastSent::default();
    last.record(known(failover(7, 1_000)), Time::from_millis(1_000));
    let same = known(failover(7, 1_004));
    assert_eq!(last.update(&same, spacing, Time::from_millis(1_010)), Update::None);
    let second = known(failover(8, 21_000));
    assert_eq!(last.update(&second, spacing, Time::from_millis(21_000)), Update::Failure);
    assert!(!last.has_failover(&second));
    last.record(second, Time::from_millis(21_000));
    assert!(last.has_failover(&second));
}

/// The coordinator promoted a server without a commit that another VM had answered for, since it
/// heard of the commit with a later heartbeat only.
#[test]
fn what_a_vm_has_answered_for_reaches_the_coordinator_in_time() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, 0.0);
        fleet.run(0, 3_000);
        let [coordinator, witness, group] =
            [VMS, VMS, GROUPS].map(|count| fleet.rng.random_range(0..count));
        let noted = Position::new(Term::new(1), Lsn::new(1_000_000));
        let note = GroupSummary { acknowledged: noted, ..GroupSummary::default() };
        fleet.learn(witness, group, note, 3_000);
        let begun = Time::from_millis(3_000);
        let number = FailoverNumber::new(1);
        let failover = Some(Announcement { number, replaced: Term::new(1), begun, ordered: false });
        let news = GroupSummary { failover, ..GroupSummary::default() };
        fleet.learn(coordinator, group, news, 3_000);
        fleet.run(3_000, ANNOUNCEMENT_MS);
        let unaware = (0..VMS).filter(|vm| fleet.known[*vm][group].failover.is_none()).count();
        assert_eq!(unaware, 0, "all VMs know of the failover");
        assert_eq!(fleet.known[coordinator][group].acknowledged, noted, "seed {seed}");
    }
}
