//! Errors in files, each with its place and its remedy.

use std::fmt;

use serde::Serialize;

/// A position in a file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Place {
    /// Name of the file as it was passed in.
    pub file: String,
    /// Line, counted from one.
    pub line: usize,
    /// Column in characters, counted from one.
    pub column: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// An error in a file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Problem {
    /// Position of the error.
    pub place: Place,
    /// Path of the field, such as `accounts.press-line.rate`; empty if the error
    /// concerns the whole file.
    pub field: String,
    /// What is wrong.
    pub message: String,
    /// How to correct it.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.place)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "{}; {}", self.message, self.remedy)
    }
}

/// All errors found in a set of files, ordered by place.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct Problems(Vec<Problem>);

impl Problems {
    /// Creates the list and sorts `problems` by place.
    pub(crate) fn new(mut problems: Vec<Problem>) -> Self {
        problems.sort();
        Problems(problems)
    }

    /// Returns the errors, ordered by place.
    pub fn iter(&self) -> impl Iterator<Item = &Problem> {
        self.0.iter()
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}
