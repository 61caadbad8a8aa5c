//! Following the accepted configuration.

use std::{sync::Arc, time::Duration};

use chicoryhollow_config::{Configuration, configuration::Versioned};
use chicoryhollow_core::prelude::*;
use chicoryhollow_peer::Body;
use chicoryhollow_platform::{HttpPlatform, Platform, PlatformError};
use slog::o;

use crate::{events::Event, node::Node, peers::Reply};

/// Row of the table service that names the accepted configuration.
pub const CONFIGURATION_ROW: &str = "configuration";

/// Time between two looks at the platform, in milliseconds.
const POLL_MS: u64 = 500;

/// Follows the platform for as long as the daemon runs.
pub async fn follow(node: Arc<Node>, platform: HttpPlatform) {
    loop {
        if let Err(error) = poll(&node, &platform).await {
            Event::PlatformUnavailable.record(&node.log, o!("error" => error.to_string()));
        }
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}

async fn poll(node: &Arc<Node>, platform: &HttpPlatform) -> Result<(), PlatformError> {
    node.members.replace(platform.vms().await?);
    let Some(row) = platform.get(CONFIGURATION_ROW).await? else { return Ok(()) };
    if row.version <= node.configuration().version {
        return Ok(());
    }
    let hash = row.value["hash"].as_str().unwrap_or_default();
    let Some(bytes) = platform.object(&format!("configuration-{hash}")).await? else {
        return Ok(());
    };
    let configuration: Configuration =
        serde_json::from_slice(&bytes).map_err(|e| PlatformError::Protocol(e.to_string()))?;
    let version = row.version;
    node.configuration.send_replace(Arc::new(Versioned { version, configuration }));
    node.metrics.version.set(i64::try_from(version).unwrap_or(i64::MAX));
    Event::ConfigurationInForce.record(&node.log, o!("version" => version));
    Ok(())
}

/// Receives a control message of another VM.
pub(crate) fn receive(_node: &Arc<Node>, _from: &VmId, _body: Body, _reply: &Reply) {}
