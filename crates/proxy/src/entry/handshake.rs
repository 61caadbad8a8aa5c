//! Start-up of a caller's connection.
//!
//! The start-up checks the caller's key, finds its route and account, and reads
//! the session token and other options. A caller that is not served receives a
//! refusal.

use std::{sync::Arc, time::Duration};

use chicoryhollow_config::{Configuration, Verifier, admission::Credentials};
use chicoryhollow_core::prelude::*;
use pgwire::messages::{
    response::{ReadyForQuery, TransactionStatus},
    startup::{Authentication, BackendKeyData, NegotiateProtocolVersion, ParameterStatus, Startup},
};
use tokio::{net::TcpStream, time::timeout};

use super::{
    cancellation::{self, CancelRegistration},
    command::parse_timeout,
    connection::Connection,
    scram,
    startup::{self, StartupRequest},
};
use crate::{
    configuration::is_stale,
    node::Node,
    wire::{self, WireError},
};

/// Parameter in which callers send and receive their session token.
pub(crate) const SESSION_PARAMETER: &str = "chicoryhollow.session";

/// Prefix of parameters that request options of the protocol.
const PROTOCOL_OPTION: &str = "_pq_.";

/// Maximum duration of each of the two steps of the start-up, in milliseconds:
/// reading the first packets, and checking the key.
const STARTUP_TIMEOUT_MS: u64 = 10_000;

/// Maximum wait for a refused caller to close its connection, in milliseconds.
const CLOSE_TIMEOUT_MS: u64 = 1_000;

/// Maximum size of a message of a caller whose key was not accepted yet, in bytes.
const MAX_UNAUTHENTICATED_BYTES: usize = 10_000;

/// A caller whose key was accepted.
pub(crate) struct Caller {
    /// The connection.
    pub(crate) connection: Connection,
    /// Key, account and route of the caller.
    pub(crate) credentials: Credentials,
    /// Positions that the session has seen; `None` when they are unknown.
    pub(crate) token: Option<SessionToken>,
    /// Time limit that the caller has set for its statements.
    pub(crate) timeout: Option<Duration>,
    /// Registration for cancel requests.
    pub(crate) registration: CancelRegistration,
}

/// Runs the start-up. Returns `None` if the connection carried a cancel request,
/// the caller was refused, or the caller closed the connection.
///
/// # Errors
///
/// Returns an error if the caller's messages are malformed, the connection
/// fails or the start-up takes too long.
pub(crate) async fn accept(
    node: &Arc<Node>,
    mut socket: TcpStream,
    over_limit: bool,
) -> Result<Option<Caller>, WireError> {
    let limit = Duration::from_millis(STARTUP_TIMEOUT_MS);
    let received = timeout(limit, startup::read(&mut socket)).await;
    let (startup, rest) = match received.map_err(std::io::Error::from)? {
        Ok(StartupRequest::Session(startup, rest)) => (startup, rest),
        Ok(StartupRequest::Cancel(request)) => {
            cancellation::handle_request(node, &request);
            return Ok(None);
        }
        Ok(StartupRequest::Closed) => return Ok(None),
        Err(error) => {
            let connection = Connection::new(socket, Default::default(), MAX_UNAUTHENTICATED_BYTES);
            refuse(node, connection, Refusal::Malformed, Some(&error.to_string())).await?;
            return Err(error);
        }
    };
    let mut connection = Connection::new(socket, rest, MAX_UNAUTHENTICATED_BYTES);
    let authorised = timeout(limit, authorise(node, &mut connection, &startup, over_limit)).await;
    match authorised.map_err(std::io::Error::from)? {
        Ok(Ok((credentials, options))) => {
            finish_startup(node, connection, &startup, credentials, options).await.map(Some)
        }
        Ok(Err(refusal)) => {
            refuse(node, connection, refusal, None).await?;
            Ok(None)
        }
        Err(error) => {
            if !matches!(error, WireError::Io(_)) {
                let detail = error.to_string();
                refuse(node, connection, Refusal::Malformed, Some(&detail)).await?;
            }
            Err(error)
        }
    }
}

/// Sends the caller a refusal, counts it and closes the connection.
pub(super) async fn refuse(
    node: &Arc<Node>,
    mut connection: Connection,
    refusal: Refusal,
    detail: Option<&str>,
) -> Result<(), WireError> {
    node.metrics.record_refusal(refusal);
    connection.send(&wire::refusal_error("FATAL", refusal, detail)).await?;
    connection.close(Duration::from_millis(CLOSE_TIMEOUT_MS)).await;
    Ok(())
}

/// Options that the caller set at start-up.
struct Options {
    token: Option<SessionToken>,
    timeout: Option<Duration>,
}

/// Checks whether the caller may be served, and with which account and route.
async fn authorise(
    node: &Arc<Node>,
    connection: &mut Connection,
    startup: &Startup,
    over_limit: bool,
) -> Result<Result<(Credentials, Options), Refusal>, WireError> {
    let versioned = node.configuration();
    let configuration = &versioned.configuration;
    if versioned.version == 0 || is_stale(node) {
        return Ok(Err(Refusal::NotReady));
    }
    if node.is_draining() || !configuration.is_in_service(&node.settings.data_centre) {
        return Ok(Err(Refusal::Draining));
    }
    if over_limit {
        return Ok(Err(Refusal::TooManyConnections));
    }
    let user = startup.parameters.get("user").map_or("", String::as_str);
    let database = startup.parameters.get("database").map_or(user, String::as_str);
    let key = configuration.keys.get_key_value(user);
    if key.is_some() || !is_open_route(configuration, database) {
        let verifier = key.map(|(_, key)| key.verifier.clone());
        let verifier = verifier.unwrap_or_else(|| scram::decoy(configuration, user));
        if !check_key(node, connection, &verifier).await? || key.is_none() {
            return Ok(Err(Refusal::BadKey));
        }
    }
    let Some((route, found)) = configuration.routes.get_key_value(database) else {
        return Ok(Err(Refusal::RouteUnknown));
    };
    let account = key.map(|(_, key)| &key.account).or(found.open_account.as_ref());
    let Some(account) = account.cloned() else { return Ok(Err(Refusal::RouteDenied)) };
    let key = key.map(|(name, key)| (name.clone(), key.verifier.clone()));
    let credentials = Credentials { key, account, route: route.clone() };
    if let Err(refusal) = configuration.check_admission(&credentials) {
        return Ok(Err(refusal));
    }
    Ok(parse_options(startup).map(|options| (credentials, options)))
}

async fn check_key(
    node: &Arc<Node>,
    connection: &mut Connection,
    verifier: &Verifier,
) -> Result<bool, WireError> {
    if node.settings.limits.cleartext_keys {
        return scram::check_cleartext(connection, verifier).await;
    }
    scram::check(connection, verifier).await
}

/// Returns whether the route admits callers without a key.
fn is_open_route(configuration: &Configuration, route: &str) -> bool {
    configuration.routes.get(route).is_some_and(|route| route.open_account.is_some())
}

/// Parses the options. Each is a parameter of its own, or is given in the
/// parameter `options` as `-c NAME=VALUE` or `--NAME=VALUE`.
fn parse_options(startup: &Startup) -> Result<Options, Refusal> {
    let text = startup.parameters.get("options").map_or("", String::as_str);
    let find = |name: &str| {
        let given = startup.parameters.get(name).map(String::as_str);
        let named = |word: &'_ str| -> Option<usize> {
            let setting = word.strip_prefix("--").or_else(|| word.strip_prefix("-c"));
            let value = setting.unwrap_or(word).strip_prefix(name)?.strip_prefix('=')?;
            Some(word.len() - value.len())
        };
        let option = || text.split_whitespace().find_map(|word| Some(&word[named(word)?..]));
        given.or_else(option)
    };
    let token = find(SESSION_PARAMETER).map(|text| text.parse().map_err(|_| Refusal::BadToken));
    let timeout = find("statement_timeout").and_then(parse_timeout).flatten();
    Ok(Options { token: token.transpose()?, timeout })
}

/// Completes the start-up of a caller that is served.
async fn finish_startup(
    node: &Arc<Node>,
    mut connection: Connection,
    startup: &Startup,
    credentials: Credentials,
    options: Options,
) -> Result<Caller, WireError> {
    connection.set_limit(node.settings.limits.message_bytes);
    let meter = node.entry.meters.add(credentials.account.clone());
    connection.set_meter(meter, Duration::from_millis(node.settings.limits.request_ms));
    if let Some(negotiation) = negotiate(startup) {
        connection.queue_message(&negotiation);
    }
    connection.queue_message(&Authentication::Ok);
    let application = startup.parameters.get("application_name").map_or("", String::as_str);
    let parameters = [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("application_name", application),
        ("DateStyle", "ISO, MDY"),
        ("IntervalStyle", "postgres"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        connection.queue_message(&ParameterStatus::new(name.to_owned(), value.to_owned()));
    }
    let registration = node.entry.cancels.register(node);
    connection
        .queue_message(&BackendKeyData::new(registration.process, registration.secret.clone()));
    connection.send(&ReadyForQuery::new(TransactionStatus::Idle)).await?;
    let Options { token, timeout } = options;
    Ok(Caller { connection, credentials, token, timeout, registration })
}

/// Returns the message for a caller with a later minor version of the protocol
/// or unknown options. It names the version and the options that are missing.
fn negotiate(startup: &Startup) -> Option<NegotiateProtocolVersion> {
    let unknown = startup.parameters.keys().filter(|name| name.starts_with(PROTOCOL_OPTION));
    let unknown: Vec<_> = unknown.cloned().collect();
    let later = startup.protocol_number_minor > 0 || !unknown.is_empty();
    // Version 3.0, encoded as clients of version 3.2 expect it.
    later.then(|| NegotiateProtocolVersion::new(3 << 16, unknown))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn startup(parameters: &[(&str, &str)]) -> Startup {
        let mut startup = Startup::new();
        for (name, value) in parameters {
            startup.parameters.insert((*name).to_owned(), (*value).to_owned());
        }
        startup
    }

    #[test]
    fn options_are_parsed_in_all_usual_forms() {
        let token = |text: &str| parse_options(&startup(&[("options", text)])).map(|o| o.token);
        let expected: SessionToken = "orders=1/2".parse().expect("a token");
        for text in [
            "-c chicoryhollow.session=orders=1/2",
            "-cchicoryhollow.session=orders=1/2",
            "--chicoryhollow.session=orders=1/2",
            "-c statement_timeout=5s -c chicoryhollow.session=orders=1/2",
        ] {
            assert_eq!(token(text), Ok(Some(expected.clone())), "{text}");
        }
        assert_eq!(token(""), Ok(None));
        assert_eq!(token("-c chicoryhollow.session="), Ok(Some(SessionToken::new())));
        assert_eq!(token("-c chicoryhollow.session=x"), Err(Refusal::BadToken));
    }

    #[test]
    fn later_versions_are_negotiated_down() {
        let mut later = startup(&[]);
        assert!(negotiate(&later).is_none());
        later.protocol_number_minor = 2;
        assert_eq!(negotiate(&later).map(|n| n.newest_minor_protocol), Some(3 << 16));
        assert!(negotiate(&startup(&[("_pq_.x", "1")])).is_some());
    }
}
