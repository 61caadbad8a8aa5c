//! Compares the documentation of log events with the code.

use std::{fs, path::Path};

use chicoryhollow_core::{budget::LimitReason, unanswered::Unanswered};
use chicoryhollow_engine::log::Event;

/// Number of the engine's first log event.
const FIRST_EVENT: u16 = 600;

/// Returns the cells of the rows of all tables in a page of the documentation.
fn rows(page: &str) -> Vec<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(page);
    let text = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path:?}: {error}"));
    let cells = |line: &str| -> Option<Vec<String>> {
        let inner = line.strip_prefix('|')?.strip_suffix('|')?;
        Some(inner.split('|').map(|cell| cell.trim().to_owned()).collect())
    };
    text.lines().filter_map(cells).collect()
}

#[test]
fn every_event_is_documented_as_it_is() {
    let is_own =
        |cells: &Vec<String>| cells[0].parse::<u16>().is_ok_and(|number| number >= FIRST_EVENT);
    let mut found: Vec<Vec<String>> = rows("EVENTS.md").into_iter().filter(is_own).collect();
    found.iter_mut().for_each(|cells| cells.truncate(3));
    let expected: Vec<Vec<String>> = Event::ALL
        .iter()
        .map(|event| {
            let (number, level, text) = event.row();
            vec![number.to_string(), level.as_str().to_lowercase(), text.to_owned()]
        })
        .collect();
    assert_eq!(found, expected);
}

#[test]
fn every_reason_for_a_request_without_an_answer_is_documented() {
    let labels: Vec<String> = Unanswered::ALL.map(|reason| format!("`{reason}`")).to_vec();
    let found = rows("OPERATIONS.md").into_iter().map(|cells| cells[0].clone());
    let found: Vec<String> = found.filter(|cell| labels.contains(cell)).collect();
    assert_eq!(found, labels);
}

#[test]
fn every_reason_for_a_rejected_caller_is_documented() {
    let labels: Vec<String> =
        LimitReason::ALL.map(|reason| format!("`{}`", reason.label())).to_vec();
    let found = rows("design/limits.md").into_iter().filter_map(|cells| cells.into_iter().nth(2));
    let found: Vec<String> = found.filter(|cell| cell.starts_with('`')).collect();
    assert_eq!(found, labels);
}
