//! Reads and checks operators' files and settings files.

use std::{fs, io, path::Path};

use serde::de::DeserializeOwned;
use serde_json::{Map, Value as Json};

use crate::{
    configuration::Configuration,
    names::Names,
    problem::{Problem, Problems},
    schema::{Field, configuration::CONFIGURATION, settings::SETTINGS},
    settings::Settings,
    text::Text,
    validator::Validator,
    value::to_json,
};

/// An error while reading files.
#[derive(Debug, thiserror::Error)]
pub enum FilesError {
    /// A file or directory could not be read.
    #[error("cannot read {path}: {error}")]
    Io {
        /// File or directory.
        path: String,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The directory contains no configuration file.
    #[error("{path} contains no *.jsonc or *.json file")]
    Empty {
        /// The directory.
        path: String,
    },
    /// The content of the files is not valid.
    #[error("{0}")]
    Invalid(#[from] Problems),
}

impl Configuration {
    /// Reads and checks all `*.jsonc` and `*.json` files of a directory.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read, or all problems of all files if
    /// one of them is not valid.
    pub fn load(directory: impl AsRef<Path>) -> Result<Self, FilesError> {
        let directory = directory.as_ref();
        let mut paths = Vec::new();
        for entry in fs::read_dir(directory).map_err(io_error(directory))? {
            let path = entry.map_err(io_error(directory))?.path();
            let extension = path.extension().and_then(|extension| extension.to_str());
            if matches!(extension, Some("json" | "jsonc")) && path.is_file() {
                paths.push(path);
            }
        }
        if paths.is_empty() {
            return Err(FilesError::Empty { path: directory.display().to_string() });
        }
        paths.sort();
        let texts = paths.iter().map(read).collect::<Result<Vec<_>, _>>()?;
        Ok(Configuration::parse(&texts)?)
    }

    /// Checks files in memory and merges them.
    ///
    /// # Errors
    ///
    /// Returns all problems of all files.
    ///
    /// # Example
    ///
    /// ```
    /// use chicoryhollow_config::{Configuration, Text};
    ///
    /// let broken = Text::new("sites.jsonc", "{ \"data_centres\": { \"a\": { \"servise\": \"in\" } } }");
    /// let problems = Configuration::parse(&[broken]).unwrap_err();
    /// assert_eq!(
    ///     problems.to_string(),
    ///     "sites.jsonc:1:28: data_centres.a.servise: unknown field; \
    ///      write \"service\", or remove the field"
    /// );
    /// ```
    pub fn parse(texts: &[Text]) -> Result<Self, Problems> {
        let mut configuration: Configuration = check(texts, CONFIGURATION)?;
        configuration.sort();
        Ok(configuration)
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or all of its problems if it
    /// is not valid.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, FilesError> {
        Ok(Settings::parse(&read(&path)?)?)
    }

    /// Checks a settings file in memory.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file.
    pub fn parse(text: &Text) -> Result<Self, Problems> {
        check(std::slice::from_ref(text), SETTINGS)
    }
}

fn read(path: impl AsRef<Path>) -> Result<Text, FilesError> {
    let path = path.as_ref();
    let content = fs::read_to_string(path).map_err(io_error(path))?;
    Ok(Text::new(path.display().to_string(), content))
}

fn io_error(path: &Path) -> impl Fn(io::Error) -> FilesError {
    let path = path.display().to_string();
    move |error| FilesError::Io { path: path.clone(), error }
}

/// Checks `texts` against `fields` and deserialises them into one value.
fn check<T: DeserializeOwned>(texts: &[Text], fields: &[Field]) -> Result<T, Problems> {
    let mut names = Names::default();
    let mut problems = Vec::new();
    let mut merged = Map::new();
    for text in texts {
        match text.object() {
            Ok(object) => {
                problems.extend(Validator::new(text, &mut names).validate(&object, fields));
                merge(&mut merged, to_json(&object));
            }
            Err(problem) => problems.push(problem),
        }
    }
    problems.extend(names.dangling_references());
    if problems.is_empty() {
        let value = serde_json::from_value(Json::Object(merged));
        return value.map_err(|error| type_mismatch(texts, &error));
    }
    Err(Problems::new(problems))
}

/// Merges the sections of one file into those of the files before it.
fn merge(merged: &mut Map<String, Json>, file: Map<String, Json>) {
    for (section, value) in file {
        match (merged.get_mut(&section), value) {
            (Some(Json::Object(present)), Json::Object(more)) => present.extend(more),
            (_, value) => {
                merged.insert(section, value);
            }
        }
    }
}

/// Reports a value that the schema accepts but the type does not.
fn type_mismatch(texts: &[Text], error: &serde_json::Error) -> Problems {
    let file = texts.first().map_or("", Text::name);
    Problems::new(vec![Problem {
        place: Text::new(file, "").place(0),
        field: String::new(),
        message: error.to_string(),
        remedy: "correct the value".to_owned(),
    }])
}
