//! Answers, failures and exit codes.

use std::{fmt, process::ExitCode};

use serde_json::{Value, json};

/// Exit codes, as the help text documents them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Code {
    /// Done.
    Done = 0,
    /// The files are wrong, or the change is not allowed.
    Refused = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The platform is not available, or gave no answer in time.
    Unavailable = 3,
    /// Another configuration was published first.
    Conflict = 4,
    /// Published, but not seen in force everywhere in time.
    Pending = 5,
}

/// What a command that did its work answers.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutput {
    /// Lines for people.
    pub text: String,
    /// The same for programs.
    pub json: Value,
    /// Exit code.
    pub code: Code,
}

impl CommandOutput {
    /// Makes an answer with exit code 0.
    pub fn new(text: impl Into<String>, json: Value) -> Self {
        CommandOutput { text: text.into(), json, code: Code::Done }
    }

    /// Sets the exit code.
    pub fn with_code(self, code: Code) -> Self {
        CommandOutput { code, ..self }
    }
}

/// Why a command did not do its work.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{message}")]
pub struct Failure {
    /// Exit code.
    pub code: Code,
    /// Lines for people.
    pub message: String,
    /// Details for programs.
    pub details: Value,
}

impl Failure {
    /// Makes a failure.
    pub fn new(code: Code, message: impl fmt::Display) -> Self {
        Failure { code, message: message.to_string(), details: Value::Null }
    }

    /// Makes the failure of a wrong command line.
    pub fn usage(message: impl fmt::Display) -> Self {
        Failure::new(Code::Usage, message)
    }

    /// Adds details for programs.
    pub fn with_details(self, details: Value) -> Self {
        Failure { details, ..self }
    }
}

/// Prints what a command came to and returns the exit code.
pub fn print(result: Result<CommandOutput, Failure>, json: bool) -> ExitCode {
    match result {
        Ok(answer) => {
            if json {
                println!("{:#}", answer.json);
            } else {
                println!("{}", answer.text);
            }
            ExitCode::from(answer.code as u8)
        }
        Err(failure) => print_failure(&failure, json),
    }
}

/// Prints a failure and returns its exit code.
pub fn print_failure(failure: &Failure, json: bool) -> ExitCode {
    let code = failure.code as u8;
    if json {
        let Failure { message, details, .. } = failure;
        println!("{:#}", json!({ "code": code, "error": message, "details": details }));
    } else {
        eprintln!("{failure}");
    }
    ExitCode::from(code)
}
