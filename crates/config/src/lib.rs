/*!
Files that operators write, and the settings of one daemon.

# Guided tour

* [`Configuration`] is a whole file set: data centres, database groups with
  their backend servers, client accounts, keys and routes. It applies as a
  whole or not at all.
* [`Settings`] is what one daemon learns at start-up: its name, its data
  centre, its addresses and its limits.
* [`Verifier`](verifier::Verifier) is what the configuration holds of a key; the
  key itself is never stored.
*/

pub mod change;
pub mod configuration;
pub mod delta;
pub mod difference;
pub mod files;
pub mod hash;
mod names;
pub mod problem;
pub mod publish;
pub mod rate;
pub mod reader;
pub mod schema;
pub mod settings;
pub mod standing;
mod text;
mod value;
pub mod verifier;
mod walk;

pub use crate::{
    configuration::{Account, Configuration, DataCentre, Group, Key, Route, Server},
    delta::Delta,
    difference::Difference,
    files::FilesError,
    hash::{ContentHash, Digests},
    problem::{Place, Problem, Problems},
    rate::{Burst, Rate},
    reader::ConfigurationState,
    settings::Settings,
    text::Text,
    verifier::Verifier,
};
