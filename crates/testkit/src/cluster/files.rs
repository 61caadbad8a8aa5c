//! Files of a cluster: the operators' configuration and the settings of the VMs.

use std::{fs, io, net::SocketAddr, path::Path};

use chicoryhollow_config::{
    Account, Burst, Configuration, DataCentre, Group, Key, Rate, Route, Server, Settings, Verifier,
    configuration::Service,
    settings::{BackendRole, Limits, Listen, Log},
    verifier::DEFAULT_ITERATIONS,
};
use chicoryhollow_core::prelude::*;
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value as Json;

use crate::{
    cluster::deployment::{DATA_CENTRES, Deployment},
    load::client::Identity,
};

/// Parses a name that the testkit made and that is therefore valid.
pub(super) fn parse_name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the testkit makes valid names")
}

/// Returns the credentials and the database of a client of an account.
pub fn identity(deployment: &Deployment, account: usize) -> Identity {
    let size = deployment.accounts[account];
    Identity {
        user: format!("{}-key", size.name),
        password: format!("secret-of-{}", size.name),
        database: deployment.groups[size.group].to_owned(),
    }
}

/// Makes the configuration of a deployment. `addresses` has the address of each
/// server by group and data centre.
pub(super) fn configuration(
    deployment: &Deployment,
    addresses: &[[SocketAddr; DATA_CENTRES]; 3],
) -> Configuration {
    let mut configuration = Configuration::default();
    for index in 0..DATA_CENTRES {
        let data_centre = parse_name(&Deployment::data_centre(index));
        configuration.data_centres.insert(data_centre, DataCentre::default());
    }
    for (index, group) in deployment.groups.iter().enumerate() {
        let servers = servers(deployment, index, &addresses[index]);
        configuration.groups.insert(parse_name(group), Group { servers });
        configuration.routes.insert(parse_name(group), route(deployment, index));
    }
    for (index, size) in deployment.accounts.iter().enumerate() {
        let account = Account {
            rate: Rate::new(size.rate).expect("rates of deployments are positive"),
            burst: Burst::new(size.burst).expect("bursts of deployments are at least one"),
            weight: 1,
        };
        configuration.accounts.insert(parse_name(size.name), account);
        let shown = identity(deployment, index);
        let verifier = Verifier::new(&shown.password, rand::random(), DEFAULT_ITERATIONS);
        let key = Key { account: parse_name(size.name), verifier };
        configuration.keys.insert(parse_name(&shown.user), key);
    }
    configuration
}

fn servers(
    deployment: &Deployment,
    group: usize,
    addresses: &[SocketAddr; DATA_CENTRES],
) -> IndexMap<ServerId, Server> {
    let server = |(data_centre, address): (usize, &SocketAddr)| {
        let server = Server {
            address: *address,
            data_centre: parse_name(&Deployment::data_centre(data_centre)),
            slots: deployment.slots as u32,
            connections: deployment.connections as u32,
            service: Service::In,
        };
        (parse_name(&deployment.server(group, data_centre)), server)
    };
    addresses.iter().enumerate().map(server).collect()
}

fn route(deployment: &Deployment, group: usize) -> Route {
    let users = deployment.accounts.iter().filter(|account| account.group == group);
    Route {
        group: parse_name(deployment.groups[group]),
        accounts: users.map(|account| parse_name(account.name)).collect(),
        open_account: None,
        max_age_ms: None,
        idempotent: false,
    }
}

/// Writes a configuration into a directory, in the form that operators use.
pub(super) fn write_configuration(
    directory: &Path,
    configuration: &Configuration,
) -> io::Result<()> {
    fs::create_dir_all(directory)?;
    fs::write(directory.join("deployment.jsonc"), file_text(configuration)?)
}

/// Writes the settings of a VM.
pub(super) fn write_settings(path: &Path, settings: &Settings) -> io::Result<()> {
    fs::write(path, file_text(settings)?)
}

/// Formats a value as JSON without null fields, since people leave absent fields
/// out of their files.
fn file_text(value: &impl Serialize) -> io::Result<String> {
    let mut value = serde_json::to_value(value)?;
    remove_nulls(&mut value);
    Ok(serde_json::to_string_pretty(&value)?)
}

fn remove_nulls(value: &mut Json) {
    match value {
        Json::Object(fields) => {
            fields.retain(|_, field| !field.is_null());
            fields.values_mut().for_each(remove_nulls);
        }
        Json::Array(items) => items.iter_mut().for_each(remove_nulls),
        _ => {}
    }
}

/// Makes the settings of a VM.
pub(super) fn settings(
    vm: usize,
    listen: Listen,
    platform: String,
    translate: IndexMap<SocketAddr, SocketAddr>,
) -> Settings {
    Settings {
        vm: parse_name(&Deployment::vm(vm)),
        data_centre: parse_name(&Deployment::data_centre(vm)),
        listen,
        platform,
        seeds: Vec::new(),
        backend: BackendRole::default(),
        translate,
        log: Log::default(),
        limits: Limits::default(),
    }
}
