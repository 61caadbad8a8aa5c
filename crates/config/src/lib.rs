/*!
Configuration files of the operators, and the settings of one daemon.

# Guided tour

* [`Configuration`] is a complete set of files: data centres, database groups
  with their backend servers, client accounts, keys and routes. It is applied
  as a whole or not at all.
* [`Settings`] is what one daemon reads at start-up: its name, its data centre,
  its addresses and its limits.
* [`Problems`] lists all errors found in the files, each with its place and its
  remedy; [`schema`] defines the fields that files may contain.
* [`Verifier`] is stored in the configuration to check a key; the key itself is
  never stored.
* [`Difference`] shows operators what changed, [`Delta`] transports changes
  to VMs, [`ContentHash`] identifies the content of a configuration, and
  [`change`] checks which changes may follow the active configuration.
* [`publish`] decides how a new version is published, [`reader`] which version
  is active on one VM, and [`admission`] whether a caller may still be served.
  They do no I/O: time and randomness are passed in as arguments.

The active version of a VM is the one that it applies to callers; messages to
operators call it the version "in force".
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
mod validator;
mod value;
pub mod verifier;

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
