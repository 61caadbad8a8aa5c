//! Health checks, metrics and status over HTTP.

use std::{sync::Arc, time::Duration};

use actix_web::{
    App, HttpResponse, HttpServer,
    dev::Server,
    web::{self, Data},
};
use serde_json::json;

use crate::node::Node;

/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 64;

/// Time in which a client must send the head of its request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves `/healthz`, `/readyz`, `/metrics`, `/status` and `/vms`.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn serve(node: &Arc<Node>) -> std::io::Result<Server> {
    let shared = Data::from(Arc::clone(node));
    let app = move || {
        App::new()
            .app_data(shared.clone())
            .route("/healthz", web::get().to(healthz))
            .route("/readyz", web::get().to(readyz))
            .route("/metrics", web::get().to(metrics))
            .route("/status", web::get().to(status))
            .route("/vms", web::get().to(vms))
    };
    let server = HttpServer::new(app)
        .workers(1)
        .max_connections(MAX_CONNECTIONS)
        .client_request_timeout(REQUEST_TIMEOUT)
        .disable_signals();
    Ok(server.bind(node.settings.listen.admin)?.run())
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn readyz(node: Data<Node>) -> HttpResponse {
    // A keeper is a VM on which part of an account's token bucket refills. Until
    // the keepers are known, requests would be refused as above their rate.
    if !node.is_accepting_work() || !node.shares.has_keepers(&node) {
        return HttpResponse::ServiceUnavailable().body("not ready\n");
    }
    HttpResponse::Ok().body("ready\n")
}

async fn metrics(node: Data<Node>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(node.metrics.encode())
}

/// Returns the current list of VMs of this daemon.
async fn vms(node: Data<Node>) -> HttpResponse {
    HttpResponse::Ok().json(&*node.members.vms())
}

async fn status(node: Data<Node>) -> HttpResponse {
    let state = if node.is_draining() { "draining" } else { "serving" };
    HttpResponse::Ok().json(json!({
        "vm": node.settings.vm,
        "incarnation": node.incarnation.to_string(),
        "data_centre": node.settings.data_centre,
        "version": node.configuration().version,
        "state": state,
        "homes": node.homes.report(),
    }))
}
