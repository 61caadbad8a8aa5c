/*!
Files that operators write, and the settings of one daemon.

# Guided tour

* [`Configuration`] is a whole file set: data centres, database groups with
  their backend servers, client accounts, keys and routes. It applies as a
  whole or not at all.
* [`Settings`] is what one daemon learns at start-up: its name, its data
  centre, its addresses and its limits.
* [`Problems`] are all errors of the files in one run, each with its place and
  its remedy; [`schema`] has the fields that files may hold.
* [`Verifier`](verifier::Verifier) is what the configuration holds of a key; the
  key itself is never stored.
* [`Difference`] shows people what changed, [`Delta`] carries it between VMs,
  [`ContentHash`] names a content, and [`change`] says which changes may follow a
  configuration in force.
* [`publish`] decides how a new version comes into force, [`reader`] which
  version is in force on one VM, and [`standing`] whether a caller may still be
  served. These decisions take time and randomness as arguments.
*/

pub mod admission;
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
