//! The program as a process: arguments, output and exit codes.

mod common;

use std::process::{Command, Output};

use chicoryhollow_config::{Configuration, Text, Verifier};
use common::{Directory, data_centres};

fn chicoryctl(arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_chicoryctl");
    Command::new(program).args(arguments).output().expect("the program runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("text")
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).expect("text")
}

#[test]
fn wrong_command_lines_exit_with_2() {
    let cases: &[(&[&str], &str)] = &[
        (&[], "no command is given; see chicoryctl --help\n"),
        (&["frob"], "unknown command \"frob\"; see chicoryctl --help\n"),
        (&["check"], "free-standing argument is missing; see chicoryctl --help\n"),
        (&["check", "a", "b"], "unexpected argument \"b\"; see chicoryctl --help\n"),
        (&["check", "--frob"], "unexpected argument \"--frob\"; see chicoryctl --help\n"),
        (&["status"], "this command needs --platform URL\n"),
        (&["status", "--timeout", "-1"], "--timeout requires a number of seconds\n"),
        (
            &["key", "new", "A", "a"],
            "failed to parse 'A': a name may hold only a-z, 0-9, '-' and '_', not 'A'; see chicoryctl --help\n",
        ),
        (&["key"], "unknown command \"key\"; see chicoryctl --help\n"),
    ];
    for (arguments, expected) in cases {
        let output = chicoryctl(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert_eq!(stderr(&output), *expected, "{arguments:?}");
    }
}

#[test]
fn help_and_version_are_printed() {
    assert!(stdout(&chicoryctl(&["--help"])).contains("Exit codes:"));
    assert!(stdout(&chicoryctl(&["--version"])).starts_with("chicoryctl "));
}

#[test]
fn check_prints_all_problems() {
    let directory = Directory::new("{ \"data_centres\": { \"A\": {} }, \"zones\": 1 }");
    let path = directory.path().to_str().expect("a path of text");
    let output = chicoryctl(&["check", path]);
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(stderr(&output).lines().count(), 2);
    let output = chicoryctl(&["check", "--json", path]);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(json["details"][1]["place"]["column"], 32);
    directory.write(&data_centres(&["a", "b"]));
    let output = chicoryctl(&["check", path]);
    assert_eq!(output.status.code(), Some(0));
    assert!(stdout(&output).starts_with("valid: 2 data centres, 0 database groups"));
}

#[test]
fn a_missing_directory_is_refused() {
    let output = chicoryctl(&["check", "/nonexistent/files"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).starts_with("cannot read /nonexistent/files: "));
}

#[test]
fn an_unreachable_platform_exits_with_3() {
    let output = chicoryctl(&["status", "--platform", "http://127.0.0.1:1", "--timeout", "0.1"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).starts_with("the platform did not answer"));
}

#[test]
fn a_new_key_matches_its_verifier_and_snippet() {
    let output = chicoryctl(&["key", "new", "press-line-1", "press-line"]);
    let text = stdout(&output);
    let key = text.strip_prefix("key: ").and_then(|t| t.lines().next()).expect("a key");
    let snippet = &text[text.find('{').expect("a snippet")..];
    let accounts = r#"{ "accounts": { "press-line": { "rate": 1, "burst": 1 } } }"#;
    let files = [Text::new("key.jsonc", snippet), Text::new("accounts.jsonc", accounts)];
    let configuration = Configuration::parse(&files).expect("valid files");
    let verifier = &configuration.keys["press-line-1"].verifier;
    let salt = verifier.salt().try_into().expect("16 bytes");
    assert_eq!(*verifier, Verifier::new(key, salt, verifier.iterations()));
    let other = stdout(&chicoryctl(&["key", "new", "press-line-1", "press-line"]));
    assert_ne!(text, other);
}
