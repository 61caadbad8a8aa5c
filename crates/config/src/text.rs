//! Files as text and as syntax trees.
//!
//! [`Text`] converts byte offsets to lines and columns, so that every problem
//! can be reported with its place.

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, Value},
    common::Ranged,
};

use crate::problem::{Place, Problem};

/// Accepts JSON with comments and trailing commas, and no other extensions.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// The content of one file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Text {
    name: String,
    content: String,
    /// Byte offsets at which the lines begin. Places are requested so often that
    /// counting the lines each time would take longer than all other checks.
    lines: Vec<usize>,
}

impl Text {
    /// Creates the content of the file called `name`.
    pub fn new(name: impl Into<String>, content: impl Into<String>) -> Self {
        let content = content.into();
        let starts = content.match_indices('\n').map(|(newline, _)| newline + 1);
        let lines = std::iter::once(0).chain(starts).collect();
        Text { name: name.into(), content, lines }
    }

    /// Returns the name of the file.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the place of a byte offset.
    pub(crate) fn place(&self, offset: usize) -> Place {
        let offsets = (0..=offset.min(self.content.len())).rev();
        let end = offsets.into_iter().find(|i| self.content.is_char_boundary(*i)).unwrap_or(0);
        let line = self.lines.partition_point(|start| *start <= end);
        let start = self.lines[line - 1];
        Place {
            file: self.name.clone(),
            line,
            column: self.content[start..end].chars().count() + 1,
        }
    }

    /// Parses the file, which must consist of one object.
    pub(crate) fn object(&self) -> Result<Object<'_>, Problem> {
        let parsed =
            jsonc_parser::parse_to_ast(&self.content, &CollectOptions::default(), &PARSE_OPTIONS);
        let (offset, message) = match parsed.map(|result| result.value) {
            Ok(Some(Value::Object(object))) => return Ok(object),
            Ok(Some(other)) => (other.range().start, "the file is not an object".to_owned()),
            Ok(None) => (0, "the file is empty".to_owned()),
            Err(error) => (error.range().start, format!("syntax error: {}", error.kind())),
        };
        Err(Problem {
            place: self.place(offset),
            field: String::new(),
            message,
            remedy: "write one JSON object; comments and trailing commas are allowed".to_owned(),
        })
    }
}
