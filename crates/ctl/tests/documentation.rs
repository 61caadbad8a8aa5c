//! The documentation of the commands repeats the help text of the program.

use std::{fs, path::Path};

use chicoryhollow_ctl::args::HELP;

#[test]
fn the_page_repeats_the_help_text() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operations/commands.md");
    let page = fs::read_to_string(path).expect("the page of commands");
    let block = page.split("```text\n").nth(1).and_then(|rest| rest.split("\n```").next());
    assert_eq!(block, Some(HELP));
}
