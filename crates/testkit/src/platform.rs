/*!
Stand-in of the platform: table service, object store and list of VMs.

It serves the interface that `chicoryhollow-store` uses, at the root and under
`/dc/NAME` for each data centre, so that a fault can affect a single data
centre. Tests control it through `/control`:

* `PUT /control/vms/NAME` adds or replaces a [`ListedVm`], `DELETE` removes it,
* `PUT /control/fault` sets a [`Fault`],
* `GET /control/counts` returns [`Counts`].
*/

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::TcpListener,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use actix_web::{
    App, HttpRequest, HttpResponse, HttpServer,
    dev::Server,
    http::header,
    web::{self, Bytes, Data, Json, Path, ServiceConfig},
};
use chicoryhollow_core::prelude::*;
use chicoryhollow_store::{Row, Vm};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Size limit of a request body, and thus of an object, in bytes.
const MAX_OBJECT_BYTES: usize = 64 << 20;

/// VM in the list, with the addresses that single data centres use for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM, with the peer address for data centres without an entry in `links`.
    #[serde(flatten)]
    pub vm: Vm,
    /// Peer addresses for data centres that reach the VM through a link of the
    /// fault proxy.
    #[serde(default)]
    pub links: IndexMap<DataCentreId, std::net::SocketAddr>,
}

/// Faulty behaviour of the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Data centre whose requests are affected. If absent, the fault applies to
    /// all requests of data centres without a fault of their own.
    pub data_centre: Option<DataCentreId>,
    /// Whether every request is refused.
    pub outage: bool,
    /// Delay of every request in milliseconds.
    pub delay_ms: u64,
    /// Share of the responses that are lost after the request took effect, from
    /// 0 to 1.
    pub lose_answers: f64,
    /// Age of the returned list of VMs in milliseconds.
    pub list_lag_ms: u64,
}

/// Numbers of requests that the platform has served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of read requests.
    pub reads: u64,
    /// Number of write requests.
    pub writes: u64,
}

/// Expected version and new value of a conditional write to the table.
#[derive(Debug, Deserialize)]
struct SwapRequest {
    expect: u64,
    value: serde_json::Value,
}

#[derive(Debug, Default)]
struct Store {
    table: HashMap<String, Row>,
    objects: HashMap<String, Bytes>,
    vms: IndexMap<VmId, ListedVm>,
    /// Earlier lists of VMs, each with the time at which it was replaced.
    earlier_lists: VecDeque<(Instant, IndexMap<VmId, ListedVm>)>,
    faults: HashMap<Option<DataCentreId>, Fault>,
    counts: Counts,
}

impl Store {
    fn fault(&self, data_centre: Option<&DataCentreId>) -> Fault {
        let own = data_centre.and_then(|name| self.faults.get(&Some(name.clone())));
        own.or_else(|| self.faults.get(&None)).cloned().unwrap_or_default()
    }

    fn change_vms(&mut self, change: impl FnOnce(&mut IndexMap<VmId, ListedVm>)) {
        self.earlier_lists.push_back((Instant::now(), self.vms.clone()));
        if self.earlier_lists.len() > MAX_EARLIER_LISTS {
            self.earlier_lists.pop_front();
        }
        change(&mut self.vms);
    }

    /// Returns the VMs as they were listed `lag` ago, with the peer addresses
    /// for a data centre.
    fn list_vms(&self, data_centre: Option<&DataCentreId>, lag: Duration) -> Vec<Vm> {
        let replaced_since = |(at, _): &&(Instant, _)| at.elapsed() < lag;
        let list = self.earlier_lists.iter().find(replaced_since).map_or(&self.vms, |(_, vms)| vms);
        let seen_from = |listed: &ListedVm| {
            let link = data_centre.and_then(|name| listed.links.get(name)).copied();
            Vm { peers: link.unwrap_or(listed.vm.peers), ..listed.vm.clone() }
        };
        list.values().map(seen_from).collect()
    }

    fn swap(&mut self, key: String, request: SwapRequest) -> HttpResponse {
        let present = self.table.get(&key);
        let version = present.map_or(0, |row| row.version);
        if version != request.expect {
            return HttpResponse::Conflict().json(present);
        }
        let row = Row { version: version + 1, value: request.value };
        self.table.insert(key, row.clone());
        HttpResponse::Ok().json(row)
    }
}

/// Number of earlier lists of VMs that are kept to serve an outdated list.
const MAX_EARLIER_LISTS: usize = 1_000;

/// State that all request handlers share.
#[derive(Debug, Default)]
struct State(Mutex<Store>);

impl State {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.0.lock().expect("no holder of the lock panics")
    }

    /// Serves a request subject to the fault set for its data centre.
    async fn respond(
        &self,
        request: &HttpRequest,
        serve: impl FnOnce(&mut Store, Option<&DataCentreId>, &Fault) -> HttpResponse,
    ) -> HttpResponse {
        let name = request.match_info().get("data_centre");
        let name: Option<DataCentreId> = name.and_then(|name| name.parse().ok());
        let fault = self.store().fault(name.as_ref());
        if fault.outage {
            return HttpResponse::ServiceUnavailable().finish();
        }
        if fault.delay_ms > 0 {
            actix_web::rt::time::sleep(Duration::from_millis(fault.delay_ms)).await;
        }
        let response = serve(&mut self.store(), name.as_ref(), &fault);
        if rand::random::<f64>() < fault.lose_answers {
            return HttpResponse::GatewayTimeout().finish();
        }
        response
    }
}

/// Starts the platform on a listener and returns its server, which runs when
/// polled.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn serve(listener: TcpListener) -> io::Result<Server> {
    let state = Data::new(State::default());
    let app = move || App::new().app_data(state.clone()).configure(routes);
    Ok(HttpServer::new(app).workers(1).disable_signals().listen(listener)?.run())
}

fn routes(config: &mut ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(MAX_OBJECT_BYTES))
        .app_data(web::JsonConfig::default().limit(MAX_OBJECT_BYTES))
        .route("/control/vms/{vm}", web::put().to(put_vm))
        .route("/control/vms/{vm}", web::delete().to(delete_vm))
        .route("/control/fault", web::put().to(put_fault))
        .route("/control/counts", web::get().to(get_counts))
        .service(web::scope("/dc/{data_centre}").configure(service_routes))
        .configure(service_routes);
}

fn service_routes(config: &mut ServiceConfig) {
    config
        .route("/table/{key}", web::get().to(get_row))
        .route("/table/{key}", web::put().to(put_row))
        .route("/objects/{name}", web::get().to(get_object))
        .route("/objects/{name}", web::put().to(put_object))
        .route("/vms", web::get().to(get_vms));
}

fn path_segment(request: &HttpRequest, name: &str) -> String {
    request.match_info().query(name).to_owned()
}

async fn get_row(state: Data<State>, request: HttpRequest) -> HttpResponse {
    let read = |store: &mut Store, _: Option<&DataCentreId>, _: &Fault| {
        store.counts.reads += 1;
        match store.table.get(&path_segment(&request, "key")) {
            Some(row) => HttpResponse::Ok().json(row),
            None => HttpResponse::NotFound().finish(),
        }
    };
    state.respond(&request, read).await
}

async fn put_row(
    state: Data<State>,
    request: HttpRequest,
    body: Json<SwapRequest>,
) -> HttpResponse {
    let write = |store: &mut Store, _: Option<&DataCentreId>, _: &Fault| {
        store.counts.writes += 1;
        store.swap(path_segment(&request, "key"), body.into_inner())
    };
    state.respond(&request, write).await
}

async fn get_object(state: Data<State>, request: HttpRequest) -> HttpResponse {
    let read = |store: &mut Store, _: Option<&DataCentreId>, _: &Fault| {
        store.counts.reads += 1;
        match store.objects.get(&path_segment(&request, "name")) {
            Some(bytes) => HttpResponse::Ok().body(bytes.clone()),
            None => HttpResponse::NotFound().finish(),
        }
    };
    state.respond(&request, read).await
}

async fn put_object(state: Data<State>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let write = |store: &mut Store, _: Option<&DataCentreId>, _: &Fault| {
        store.counts.writes += 1;
        store.objects.insert(path_segment(&request, "name"), body);
        HttpResponse::Ok().finish()
    };
    state.respond(&request, write).await
}

/// Responds with the list and its ETag, or with 304 Not Modified if the request
/// has the same ETag.
fn list_response(request: &HttpRequest, vms: &[Vm]) -> HttpResponse {
    let json = serde_json::to_string(vms).expect("a list of VMs serialises to JSON");
    let tag = format!("\"{:016x}\"", xxhash_rust::xxh3::xxh3_64(json.as_bytes()));
    let known_tag = request.headers().get(header::IF_NONE_MATCH);
    if known_tag.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return HttpResponse::NotModified().finish();
    }
    HttpResponse::Ok()
        .insert_header((header::ETAG, tag))
        .content_type("application/json")
        .body(json)
}

async fn get_vms(state: Data<State>, request: HttpRequest) -> HttpResponse {
    let read = |store: &mut Store, name: Option<&DataCentreId>, fault: &Fault| {
        store.counts.reads += 1;
        list_response(&request, &store.list_vms(name, Duration::from_millis(fault.list_lag_ms)))
    };
    state.respond(&request, read).await
}

async fn put_vm(state: Data<State>, name: Path<VmId>, body: Json<ListedVm>) -> HttpResponse {
    state.store().change_vms(|vms| drop(vms.insert(name.into_inner(), body.into_inner())));
    HttpResponse::Ok().finish()
}

async fn delete_vm(state: Data<State>, name: Path<VmId>) -> HttpResponse {
    state.store().change_vms(|vms| drop(vms.shift_remove(&*name)));
    HttpResponse::Ok().finish()
}

async fn put_fault(state: Data<State>, body: Json<Fault>) -> HttpResponse {
    let fault = body.into_inner();
    state.store().faults.insert(fault.data_centre.clone(), fault);
    HttpResponse::Ok().finish()
}

async fn get_counts(state: Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(state.store().counts)
}
