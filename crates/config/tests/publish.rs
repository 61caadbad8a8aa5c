//! The steps that publish a configuration, with lost and late answers and
//! operators who publish at the same time.

use chicoryhollow_config::{
    Configuration, ContentHash,
    publish::{ApplyId, Event, Published, Publisher, RECENT_VERSIONS, Step, Versioned},
};
use chicoryhollow_core::Time;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const DEADLINE: Time = Time::from_millis(60_000);

fn published(apply: u64) -> Published {
    Published::new(ContentHash::new(&Configuration::default()), ApplyId::new(apply))
}

/// Returns the row after the given attempts, one after the other.
fn row(applies: &[u64]) -> Option<Versioned> {
    let append = |row: Option<Versioned>, apply: &u64| match row {
        None => Some(Versioned { version: 1, value: published(*apply) }),
        Some(row) => {
            let value = published(*apply).with_base(&row);
            Some(Versioned { version: row.version + 1, value })
        }
    };
    applies.iter().fold(None, append)
}

#[test]
fn each_sequence_of_answers_leads_to_the_expected_step() {
    use Event::{Row, Stored, Swapped, Unavailable, Waited};
    let twenty_versions: Vec<u64> = (1..=20).collect();
    // Attempt 2 is based on version 1 and has stored its objects: the events after
    // that, and the last step.
    let cases: &[(&str, Vec<Event>, Step)] = &[
        ("written", vec![Swapped(2)], Step::Done(2)),
        ("lost the race", vec![Row(row(&[1, 9]))], Step::Conflict(2)),
        ("lost the race by two versions", vec![Row(row(&[1, 9, 8]))], Step::Conflict(3)),
        ("answer lost, read back", vec![Unavailable, Waited, Row(row(&[1, 2]))], Step::Done(2)),
        ("answer lost, overtaken", vec![Unavailable, Waited, Row(row(&[1, 2, 7]))], Step::Done(2)),
        ("request lost", vec![Unavailable, Waited, Row(row(&[1]))], Step::Swap),
        (
            "late effect",
            vec![Unavailable, Waited, Row(row(&[1])), Row(row(&[1, 2]))],
            Step::Done(2),
        ),
        (
            "request lost, race lost",
            vec![Unavailable, Waited, Row(row(&[1, 9]))],
            Step::Conflict(2),
        ),
        (
            "the row lists too few versions",
            vec![Unavailable, Waited, Row(row(&twenty_versions))],
            Step::Unknown,
        ),
        ("row reset", vec![Unavailable, Waited, Row(None)], Step::Unknown),
    ];
    for (case, events, expected) in cases {
        let mut rng = StdRng::seed_from_u64(1);
        let mut publisher = Publisher::new(1, ApplyId::new(2), DEADLINE);
        assert_eq!(publisher.start(), Step::Store);
        let mut step = publisher.handle(Stored, Time::default(), &mut rng);
        for event in events {
            step = publisher.handle(event.clone(), Time::default(), &mut rng);
        }
        assert_eq!(step, *expected, "{case}");
    }
}

#[test]
fn an_outcome_is_unknown_at_the_deadline_only_if_a_write_was_sent() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut publisher = Publisher::new(0, ApplyId::new(2), DEADLINE);
    assert_eq!(publisher.handle(Event::Unavailable, DEADLINE, &mut rng), Step::Unavailable);
    publisher.handle(Event::Stored, Time::default(), &mut rng);
    assert_eq!(publisher.handle(Event::Unavailable, DEADLINE, &mut rng), Step::Unknown);
    assert_eq!(publisher.handle(Event::Row(None), DEADLINE, &mut rng), Step::Unknown);
}

#[test]
fn the_row_lists_a_limited_number_of_versions() {
    let applies: Vec<u64> = (1..=100).collect();
    let row = row(&applies).expect("a row");
    assert_eq!(row.versions().count(), RECENT_VERSIONS + 1);
    assert_eq!(row.at(99).map(|past| past.apply), Some(ApplyId::new(99)));
    assert_eq!(row.value.base, 99);
}

/// A row whose requests and answers are lost or delayed.
struct Table {
    row: Option<Versioned>,
    history: Vec<ApplyId>,
    delayed: Vec<(u64, ApplyId)>,
}

impl Table {
    fn swap(&mut self, base: u64, apply: ApplyId) -> Event {
        if self.row.as_ref().map_or(0, |row| row.version) != base {
            return Event::Row(self.row.clone());
        }
        let value = Published::new(published(0).hash, apply);
        let value = match &self.row {
            Some(row) => value.with_base(row),
            None => value,
        };
        self.row = Some(Versioned { version: base + 1, value });
        self.history.push(apply);
        Event::Swapped(base + 1)
    }

    fn request(&mut self, step: Step, base: u64, apply: ApplyId, rng: &mut StdRng) -> Event {
        let outcome = rng.random_range(0..10);
        match step {
            Step::Wait(_) => Event::Waited,
            _ if outcome < 2 => Event::Unavailable,
            Step::Store => Event::Stored,
            Step::Read => Event::Row(self.row.clone()),
            _ if outcome < 4 => {
                self.delayed.push((base, apply));
                Event::Unavailable
            }
            _ if outcome < 6 => {
                self.swap(base, apply);
                Event::Unavailable
            }
            _ => self.swap(base, apply),
        }
    }

    fn deliver_delayed(&mut self, rng: &mut StdRng) {
        if !self.delayed.is_empty() && rng.random_bool(0.3) {
            let index = rng.random_range(0..self.delayed.len());
            let (base, apply) = self.delayed.swap_remove(index);
            self.swap(base, apply);
        }
    }
}

/// Runs operators that all start from the current version until each knows its
/// outcome, and checks the outcomes against the table.
fn race(table: &mut Table, operators: u64, rng: &mut StdRng) {
    let base = table.row.as_ref().map_or(0, |row| row.version);
    let first = rng.random::<u32>();
    let applies = (0..operators).map(|i| ApplyId::new((u64::from(first) << 16) + i));
    let mut running: Vec<_> = applies.map(|a| (a, Publisher::new(base, a, DEADLINE))).collect();
    let mut steps: Vec<_> = running.iter().map(|(_, publisher)| publisher.start()).collect();
    let done = |step: &Step| matches!(step, Step::Done(_) | Step::Conflict(_));
    while !steps.iter().all(done) {
        table.deliver_delayed(rng);
        let index = rng.random_range(0..running.len());
        if done(&steps[index]) {
            continue;
        }
        let (apply, publisher) = &mut running[index];
        let event = table.request(steps[index], base, *apply, rng);
        steps[index] = publisher.handle(event, Time::default(), rng);
        assert!(!matches!(steps[index], Step::Unknown | Step::Unavailable), "{:?}", steps[index]);
    }
    for ((apply, _), step) in running.iter().zip(&steps) {
        let accepted = table.history.iter().position(|a| a == apply).map(|i| i as u64 + 1);
        match step {
            Step::Done(version) => assert_eq!(accepted, Some(*version)),
            _ => assert_eq!(accepted, None, "an attempt with a conflict was published"),
        }
    }
    assert_eq!(table.history.len() as u64, base + 1, "one race adds one version");
}

#[test]
fn concurrent_operators_learn_the_right_outcome() {
    for seed in 0..500 {
        let rng = &mut StdRng::seed_from_u64(seed);
        let mut table = Table { row: None, history: Vec::new(), delayed: Vec::new() };
        for _ in 0..10 {
            let operators = rng.random_range(1..4);
            race(&mut table, operators, rng);
        }
    }
}
