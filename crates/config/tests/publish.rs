//! The decision that publishes a configuration, with lost and late answers and
//! racing operators.

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

/// Follows an empty row with the given attempts.
fn row(applies: &[u64]) -> Option<Versioned> {
    let follow = |row: Option<Versioned>, apply: &u64| match row {
        None => Some(Versioned { version: 1, value: published(*apply) }),
        Some(row) => {
            let value = published(*apply).with_base(&row);
            Some(Versioned { version: row.version + 1, value })
        }
    };
    applies.iter().fold(None, follow)
}

#[test]
fn each_answer_leads_to_one_step() {
    use Event::{Row, Stored, Swapped, Unavailable, Waited};
    let overtaken: Vec<u64> = (1..=20).collect();
    // Events after the objects are stored on base 1 by attempt 2, and the last step.
    let cases: &[(&str, Vec<Event>, Step)] = &[
        ("written", vec![Swapped(2)], Step::Done(2)),
        ("lost the race", vec![Row(row(&[1, 9]))], Step::Conflict(2)),
        ("lost the race twice over", vec![Row(row(&[1, 9, 8]))], Step::Conflict(3)),
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
        ("history too short", vec![Unavailable, Waited, Row(row(&overtaken))], Step::Unknown),
        ("row set back", vec![Unavailable, Waited, Row(None)], Step::Unknown),
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
fn the_deadline_tells_untouched_from_unknown() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut publisher = Publisher::new(0, ApplyId::new(2), DEADLINE);
    assert_eq!(publisher.handle(Event::Unavailable, DEADLINE, &mut rng), Step::Unavailable);
    publisher.handle(Event::Stored, Time::default(), &mut rng);
    assert_eq!(publisher.handle(Event::Unavailable, DEADLINE, &mut rng), Step::Unknown);
    assert_eq!(publisher.handle(Event::Row(None), DEADLINE, &mut rng), Step::Unknown);
}

#[test]
fn the_row_names_a_bounded_history() {
    let applies: Vec<u64> = (1..=100).collect();
    let row = row(&applies).expect("a row");
    assert_eq!(row.versions().count(), RECENT_VERSIONS + 1);
    assert_eq!(row.at(99).map(|past| past.apply), Some(ApplyId::new(99)));
    assert_eq!(row.value.base, 99);
}

/// A row whose answers and requests get lost or come late.
struct Table {
    row: Option<Versioned>,
    history: Vec<ApplyId>,
    late: Vec<(u64, ApplyId)>,
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
        let fate = rng.random_range(0..10);
        match step {
            Step::Wait(_) => Event::Waited,
            _ if fate < 2 => Event::Unavailable,
            Step::Store => Event::Stored,
            Step::Read => Event::Row(self.row.clone()),
            _ if fate < 4 => {
                self.late.push((base, apply));
                Event::Unavailable
            }
            _ if fate < 6 => {
                self.swap(base, apply);
                Event::Unavailable
            }
            _ => self.swap(base, apply),
        }
    }

    fn deliver_late(&mut self, rng: &mut StdRng) {
        if !self.late.is_empty() && rng.random_bool(0.3) {
            let index = rng.random_range(0..self.late.len());
            let (base, apply) = self.late.swap_remove(index);
            self.swap(base, apply);
        }
    }
}

/// Runs operators that all start from the present version until each knows its
/// outcome, and checks the outcomes against what the table holds.
fn race(table: &mut Table, operators: u64, rng: &mut StdRng) {
    let base = table.row.as_ref().map_or(0, |row| row.version);
    let first = rng.random::<u32>();
    let applies = (0..operators).map(|i| ApplyId::new((u64::from(first) << 16) + i));
    let mut running: Vec<_> = applies.map(|a| (a, Publisher::new(base, a, DEADLINE))).collect();
    let mut steps: Vec<_> = running.iter().map(|(_, publisher)| publisher.start()).collect();
    let done = |step: &Step| matches!(step, Step::Done(_) | Step::Conflict(_));
    while !steps.iter().all(done) {
        table.deliver_late(rng);
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
            _ => assert_eq!(accepted, None, "a loser's configuration was published"),
        }
    }
    assert_eq!(table.history.len() as u64, base + 1, "one race moves the row by one version");
}

#[test]
fn racing_operators_all_learn_the_truth() {
    for seed in 0..500 {
        let rng = &mut StdRng::seed_from_u64(seed);
        let mut table = Table { row: None, history: Vec::new(), late: Vec::new() };
        for _ in 0..10 {
            let operators = rng.random_range(1..4);
            race(&mut table, operators, rng);
        }
    }
}
