//! Checks that the documents list exactly what the code defines.

use std::{collections::BTreeSet, fs, path::Path, process::Command};

use chicoryhollow_config::{
    Settings, Text,
    schema::{configuration::CONFIGURATION, paths, settings::SETTINGS},
};
use chicoryhollow_core::{Refusal, refusal::Retry};
use chicoryhollow_proxy::events::Event;

fn document(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the cells of the table rows whose first cell is accepted by `first`.
fn rows(text: &str, first: impl Fn(&str) -> bool) -> Vec<Vec<String>> {
    let cells = |line: &str| -> Option<Vec<String>> {
        let inner = line.strip_prefix('|')?.strip_suffix('|')?;
        Some(inner.split('|').map(|cell| cell.trim().to_owned()).collect())
    };
    text.lines().filter_map(cells).filter(|cells| first(&cells[0])).collect()
}

fn is_code(cell: &str) -> bool {
    cell.starts_with('`')
}

fn code(cell: &str) -> String {
    cell.trim_matches('`').to_owned()
}

#[test]
fn every_refusal_is_documented_as_it_is() {
    let expected: Vec<Vec<String>> = Refusal::ALL
        .iter()
        .map(|refusal| {
            let row = refusal.row();
            let retry = if row.retry == Retry::Allowed { "yes" } else { "no" };
            let label = format!("`{}`", row.label);
            let cells = [&label, row.sqlstate, row.outcome.as_str(), retry, row.message, row.hint];
            cells.map(str::to_owned).to_vec()
        })
        .collect();
    assert_eq!(rows(&document("REFUSALS.md"), is_code), expected);
}

#[test]
fn every_event_is_documented_as_it_is() {
    let expected: Vec<Vec<String>> = Event::ALL
        .iter()
        .map(|event| {
            let (number, level, text) = event.row();
            vec![number.to_string(), level.as_str().to_lowercase(), text.to_owned()]
        })
        .collect();
    // The numbers of the engine's events start at 600. Its own test compares them.
    let is_own = |cell: &str| cell.parse::<u16>().is_ok_and(|number| number < 600);
    let mut found = rows(&document("EVENTS.md"), is_own);
    found.iter_mut().for_each(|cells| cells.truncate(3));
    assert_eq!(found, expected);
}

/// The names are taken from the source, because the daemon's answer lacks metrics
/// that have no value yet.
#[test]
fn every_metric_is_documented() {
    let source = include_str!("../src/metrics.rs");
    let registered = source.split("&registry,").skip(1);
    let names: BTreeSet<String> = registered
        .filter_map(|rest| rest.trim_start().strip_prefix('"')?.split('"').next())
        .map(|name| format!("chicoryhollow_{name}"))
        .collect();
    assert!(names.contains("chicoryhollow_refusals_total"), "{names:?}");
    let documented = rows(&document("operations/metrics.md"), is_code);
    let documented: BTreeSet<String> = documented.iter().map(|cells| code(&cells[0])).collect();
    assert_eq!(documented, names);
}

#[test]
fn every_setting_is_documented_with_its_default() {
    let documented = rows(&document("operations/settings.md"), is_code);
    let names: BTreeSet<String> = documented.iter().map(|cells| code(&cells[0])).collect();
    assert_eq!(names, paths(SETTINGS).into_iter().collect());
    let least = r#"{ "vm": "v", "data_centre": "d", "platform": "http://10.0.0.1:80", "listen":
        { "callers": "10.0.0.1:1", "peers": "10.0.0.1:2", "admin": "10.0.0.1:3" } }"#;
    let settings = Settings::parse(&Text::new("least", least)).expect("the least settings");
    let json = serde_json::to_value(settings).expect("settings are JSON");
    for cells in documented.iter().filter(|cells| cells[1] != "needed" && cells[1] != "none") {
        let pointer = format!("/{}", code(&cells[0]).replace('.', "/"));
        let value = json.pointer(&pointer).expect("a setting with a default");
        let value = value.as_str().map_or(value.to_string(), str::to_owned);
        assert_eq!(code(&cells[1]), value, "{}", cells[0]);
    }
}

#[test]
fn every_field_of_the_configuration_is_documented() {
    let documented = rows(&document("operations/configure.md"), is_code);
    let names: BTreeSet<String> = documented.iter().map(|cells| code(&cells[0])).collect();
    assert_eq!(names, paths(CONFIGURATION).into_iter().collect());
}

#[test]
fn every_option_of_the_daemon_is_documented() {
    let program = env!("CARGO_BIN_EXE_chicoryhollow");
    let help = Command::new(program).arg("--help").output().expect("the daemon runs");
    let help = String::from_utf8(help.stdout).expect("text");
    let page = document("operations/settings.md");
    let options: Vec<_> = help.split_whitespace().filter(|word| word.starts_with("--")).collect();
    assert!(options.contains(&"--settings"), "{help}");
    for option in options {
        assert!(page.contains(option), "{option}");
    }
}
