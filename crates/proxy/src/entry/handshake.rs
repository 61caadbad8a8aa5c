//! Start-up of a caller's connection: encryption request, key check, token.

use std::{sync::Arc, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::{Bytes, BytesMut};
use chicoryhollow_config::{Verifier, standing::Credentials};
use chicoryhollow_core::prelude::*;
use futures_util::{SinkExt, StreamExt};
use pgwire::messages::{
    DecodeContext, PgWireFrontendMessage, SslNegotiationMetaMessage,
    response::{ReadyForQuery, TransactionStatus},
    startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey, Startup},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use tokio_util::codec::Framed;

use crate::{
    configuration::is_stale,
    node::Node,
    wire::{self, FrameCodec, WireError},
};

/// Parameter in which callers send and receive their session token.
pub(crate) const SESSION_PARAMETER: &str = "chicoryhollow.session";

/// Longest start-up in milliseconds.
const STARTUP_MS: u64 = 10_000;

/// Largest start-up packet in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;

/// A caller whose key was accepted.
pub(crate) struct Caller {
    /// The connection.
    pub(crate) framed: Framed<TcpStream, FrameCodec>,
    /// What the caller was let in with.
    pub(crate) credentials: Credentials,
    /// What the session has seen; none when its past is unknown.
    pub(crate) token: Option<SessionToken>,
}

/// Runs the start-up; `None` means that the connection was ended in good order.
pub(crate) async fn accept(
    node: &Arc<Node>,
    socket: TcpStream,
) -> Result<Option<Caller>, WireError> {
    let limit = Duration::from_millis(STARTUP_MS);
    timeout(limit, start(node, socket)).await.map_err(std::io::Error::from)?
}

async fn start(node: &Arc<Node>, mut socket: TcpStream) -> Result<Option<Caller>, WireError> {
    let Some((startup, rest)) = read_startup(&mut socket).await? else {
        return Ok(None);
    };
    let mut framed = Framed::new(socket, FrameCodec::new(node.settings.limits.message_bytes));
    framed.read_buffer_mut().extend_from_slice(&rest);
    match admit(node, &mut framed, &startup).await? {
        Ok((credentials, token)) => {
            welcome(&mut framed).await?;
            Ok(Some(Caller { framed, credentials, token }))
        }
        Err(refusal) => {
            node.metrics.refused(refusal);
            framed.send(wire::encode(&wire::refusal("FATAL", refusal, None))).await?;
            Ok(None)
        }
    }
}

/// Reads start-up packets until one asks for a session.
async fn read_startup(socket: &mut TcpStream) -> Result<Option<(Startup, BytesMut)>, WireError> {
    let mut buffer = BytesMut::with_capacity(512);
    let mut context = DecodeContext::default();
    loop {
        match PgWireFrontendMessage::decode(&mut buffer, &context)? {
            Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                context.awaiting_frontend_ssl = false;
            }
            Some(PgWireFrontendMessage::SslNegotiation(_)) => socket.write_all(b"N").await?,
            Some(PgWireFrontendMessage::Startup(startup)) => return Ok(Some((startup, buffer))),
            Some(_) => return Ok(None),
            None if buffer.len() > MAX_STARTUP_BYTES => return Err(WireError::Truncated),
            None => {
                if socket.read_buf(&mut buffer).await? == 0 {
                    return Ok(None);
                }
            }
        }
    }
}

type Admitted = (Credentials, Option<SessionToken>);

async fn admit(
    node: &Arc<Node>,
    framed: &mut Framed<TcpStream, FrameCodec>,
    startup: &Startup,
) -> Result<Result<Admitted, Refusal>, WireError> {
    let versioned = node.configuration();
    let configuration = &versioned.configuration;
    if versioned.version == 0 || is_stale(node) {
        return Ok(Err(Refusal::NotReady));
    }
    if !configuration.is_in_service(&node.settings.data_centre) {
        return Ok(Err(Refusal::Draining));
    }
    let user = startup.parameters.get("user").map_or("", String::as_str);
    let database = startup.parameters.get("database").map_or(user, String::as_str);
    let token = match startup_token(startup) {
        Ok(token) => token,
        Err(refusal) => return Ok(Err(refusal)),
    };
    let Some((route, found)) = configuration.routes.get_key_value(database) else {
        return Ok(Err(Refusal::RouteUnknown));
    };
    let (key, account) = match (configuration.keys.get_key_value(user), &found.open_account) {
        (Some((name, held)), _) => {
            if !check_key(framed, &held.verifier).await? {
                return Ok(Err(Refusal::BadKey));
            }
            (Some((name.clone(), held.verifier.clone())), held.account.clone())
        }
        (None, Some(account)) => (None, account.clone()),
        (None, None) => return Ok(Err(Refusal::BadKey)),
    };
    let credentials = Credentials { key, account, route: route.clone() };
    let checked = configuration.check_standing(&credentials);
    Ok(checked.map(|()| (credentials, token)))
}

/// Takes the token from `options=-c chicoryhollow.session=TOKEN`.
fn startup_token(startup: &Startup) -> Result<Option<SessionToken>, Refusal> {
    let direct = startup.parameters.get(SESSION_PARAMETER).map(String::as_str);
    let options = startup.parameters.get("options").map_or("", String::as_str);
    let setting = format!("{SESSION_PARAMETER}=");
    let named = options.split_whitespace().find_map(|option| {
        option.strip_prefix("-c").unwrap_or(option).strip_prefix(setting.as_str())
    });
    let parse = |text: &str| text.parse().map_err(|_| Refusal::BadToken);
    direct.or(named).map(parse).transpose()
}

/// Checks the caller's key by SCRAM-SHA-256 (RFC 5802) without seeing it.
async fn check_key(
    framed: &mut Framed<TcpStream, FrameCodec>,
    verifier: &Verifier,
) -> Result<bool, WireError> {
    let mechanisms = Authentication::SASL(vec!["SCRAM-SHA-256".to_owned()]);
    framed.send(wire::encode(&mechanisms)).await?;
    let first = sasl(framed).await?.into_sasl_initial_response()?.data.unwrap_or_default();
    let first = String::from_utf8_lossy(&first).into_owned();
    let Some(bare) = first.splitn(3, ',').nth(2).map(str::to_owned) else { return Ok(false) };
    let Some(client_nonce) = attribute(&bare, "r=") else { return Ok(false) };
    let server_nonce = STANDARD.encode(rand::random::<[u8; 18]>());
    let nonce = format!("{client_nonce}{server_nonce}");
    let salt = STANDARD.encode(verifier.salt());
    let challenge = format!("r={nonce},s={salt},i={}", verifier.iterations());
    let message = Authentication::SASLContinue(Bytes::from(challenge.clone()));
    framed.send(wire::encode(&message)).await?;
    let last = sasl(framed).await?.into_sasl_response()?.data;
    let last = String::from_utf8_lossy(&last).into_owned();
    let Some((without_proof, proof)) = last.rsplit_once(",p=") else { return Ok(false) };
    if attribute(without_proof, "r=") != Some(nonce.as_str()) {
        return Ok(false);
    }
    let Ok(proof) = STANDARD.decode(proof) else { return Ok(false) };
    let Some(signature) = verifier.check(&proof, &format!("{bare},{challenge},{without_proof}"))
    else {
        return Ok(false);
    };
    let proof = format!("v={}", STANDARD.encode(signature));
    framed.send(wire::encode(&Authentication::SASLFinal(Bytes::from(proof)))).await?;
    Ok(true)
}

async fn sasl(
    framed: &mut Framed<TcpStream, FrameCodec>,
) -> Result<pgwire::messages::startup::PasswordMessageFamily, WireError> {
    let frame = framed.next().await.ok_or(WireError::Truncated)??;
    match frame.frontend()? {
        PgWireFrontendMessage::PasswordMessageFamily(message) => Ok(message),
        _ => Err(WireError::Truncated),
    }
}

fn attribute<'a>(message: &'a str, name: &str) -> Option<&'a str> {
    message.split(',').find_map(|part| part.strip_prefix(name))
}

/// Ends the start-up.
async fn welcome(framed: &mut Framed<TcpStream, FrameCodec>) -> Result<(), WireError> {
    let secret = SecretKey::I32(rand::random());
    let key = BackendKeyData::new(rand::random(), secret);
    framed.feed(wire::encode(&Authentication::Ok)).await?;
    let parameters = [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        framed.feed(wire::encode(&status)).await?;
    }
    framed.feed(wire::encode(&key)).await?;
    framed.send(wire::encode(&ReadyForQuery::new(TransactionStatus::Idle))).await
}
