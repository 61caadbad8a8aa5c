//! Results of commands, and their exit codes.

use std::{fmt, process::ExitCode};

use serde_json::{Value, json};

/// Exit codes; the help text documents them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Code {
    /// Done.
    Done = 0,
    /// The files are not valid, or the change is not allowed.
    Refused = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The platform is not available, or gave no answer in time.
    Unavailable = 3,
    /// Another configuration was published first.
    Conflict = 4,
    /// Published, but not observed in force on all live VMs in time.
    Pending = 5,
}

/// The output of a command that succeeded.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutput {
    /// Human-readable lines.
    pub text: String,
    /// The same content as JSON.
    pub json: Value,
    /// Exit code.
    pub code: Code,
}

impl CommandOutput {
    /// Creates an output with exit code 0.
    pub fn new(text: impl Into<String>, json: Value) -> Self {
        CommandOutput { text: text.into(), json, code: Code::Done }
    }

    /// Sets the exit code.
    pub fn with_code(self, code: Code) -> Self {
        CommandOutput { code, ..self }
    }
}

/// The failure of a command.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{message}")]
pub struct Failure {
    /// Exit code.
    pub code: Code,
    /// Human-readable lines.
    pub message: String,
    /// Details as JSON.
    pub details: Value,
}

impl Failure {
    /// Creates a failure.
    pub fn new(code: Code, message: impl fmt::Display) -> Self {
        Failure { code, message: message.to_string(), details: Value::Null }
    }

    /// Creates the failure for a wrong command line.
    pub fn usage(message: impl fmt::Display) -> Self {
        Failure::new(Code::Usage, message)
    }

    /// Sets the details.
    pub fn with_details(self, details: Value) -> Self {
        Failure { details, ..self }
    }
}

/// Prints the result of a command and returns the exit code.
pub fn print(result: Result<CommandOutput, Failure>, json: bool) -> ExitCode {
    match result {
        Ok(output) => {
            if json {
                println!("{:#}", output.json);
            } else {
                println!("{}", output.text);
            }
            ExitCode::from(output.code as u8)
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
