//! Tests of the stand-in platform through the proxy's own client.

use std::{net::TcpListener, time::Duration};

use chicoryhollow_store::{HttpPlatform, Platform, PlatformError, Swap, Vm, VmState};
use chicoryhollow_testkit::platform::{Fault, ListedVm, serve};
use serde::Serialize;
use serde_json::json;

struct TestPlatform {
    base: String,
}

impl TestPlatform {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let base = format!("http://{}", listener.local_addr().expect("a bound listener"));
        actix_web::rt::spawn(serve(listener).expect("a server"));
        TestPlatform { base }
    }

    fn client(&self, path: &str) -> HttpPlatform {
        HttpPlatform::new(format!("{}{path}", self.base), Duration::from_secs(20))
    }

    async fn put(&self, path: &str, body: &impl Serialize) {
        let url = format!("{}/control/{path}", self.base);
        let answer = awc::Client::default().put(url).send_json(body).await.expect("an answer");
        assert!(answer.status().is_success());
    }
}

fn listed(vm: &str) -> ListedVm {
    let address = |port| ([10, 0, 0, 1], port).into();
    let vm = Vm {
        vm: vm.parse().expect("a name"),
        data_centre: "dc-1".parse().expect("a name"),
        peers: address(1),
        admin: address(2),
        state: VmState::Live,
    };
    let links = [("dc-2".parse().expect("a name"), address(3))].into();
    ListedVm { vm, links }
}

#[actix_web::test]
async fn rows_change_only_from_the_expected_version() {
    let client = TestPlatform::start().client("");
    assert_eq!(client.get("k").await, Ok(None));
    let first = client.swap("k", 0, json!("a")).await.expect("a swap");
    let Swap::Done(row) = first else { panic!("{first:?}") };
    assert_eq!(client.get("k").await, Ok(Some(row.clone())));
    assert_eq!(client.swap("k", 0, json!("b")).await, Ok(Swap::Conflict(Some(row))));
    assert_eq!(client.swap("other", 1, json!("b")).await, Ok(Swap::Conflict(None)));
    assert!(matches!(client.swap("k", 1, json!("b")).await, Ok(Swap::Done(_))));
}

#[actix_web::test]
async fn an_unchanged_list_is_recognised_by_its_tag() {
    let platform = TestPlatform::start();
    platform.put("vms/vm-1", &listed("vm-1")).await;
    let first = awc::Client::default().get(format!("{}/vms", platform.base)).send().await;
    let tag = first.expect("an answer").headers().get("etag").expect("a tag").clone();
    let again = awc::Client::default().get(format!("{}/vms", platform.base));
    let again = again.insert_header(("if-none-match", tag)).send().await.expect("an answer");
    assert_eq!(again.status(), 304);
    let client = platform.client("");
    for _ in 0..2 {
        assert_eq!(client.vms().await.map(|vms| vms.len()), Ok(1));
    }
    platform.put("vms/vm-2", &listed("vm-2")).await;
    assert_eq!(client.vms().await.map(|vms| vms.len()), Ok(2));
}

#[actix_web::test]
async fn objects_are_returned_unchanged() {
    let client = TestPlatform::start().client("/dc/dc-1");
    assert_eq!(client.object("o").await, Ok(None));
    client.store("o", vec![0, 1, 255]).await.expect("a store");
    assert_eq!(client.object("o").await, Ok(Some(vec![0, 1, 255])));
}

#[actix_web::test]
async fn a_write_takes_effect_although_its_answer_is_lost() {
    let platform = TestPlatform::start();
    let client = platform.client("");
    platform.put("fault", &Fault { lose_answers: 1.0, ..Fault::default() }).await;
    let lost = client.swap("k", 0, json!("a")).await;
    assert!(matches!(lost, Err(PlatformError::Unavailable(_))), "{lost:?}");
    platform.put("fault", &Fault::default()).await;
    assert_eq!(client.get("k").await.expect("a row").map(|row| row.value), Some(json!("a")));
}

#[actix_web::test]
async fn an_outage_can_affect_one_data_centre() {
    let platform = TestPlatform::start();
    let data_centre = Some("dc-1".parse().expect("a name"));
    platform.put("fault", &Fault { data_centre, outage: true, ..Fault::default() }).await;
    assert!(platform.client("/dc/dc-1").vms().await.is_err());
    assert_eq!(platform.client("/dc/dc-2").vms().await, Ok(vec![]));
}

#[actix_web::test]
async fn the_list_of_vms_lags_and_shows_links() {
    let platform = TestPlatform::start();
    platform.put("vms/vm-1", &listed("vm-1")).await;
    let seen = platform.client("/dc/dc-2").vms().await.expect("a list");
    assert_eq!(seen[0].peers.port(), 3);
    platform.put("fault", &Fault { list_lag_ms: 3_600_000, ..Fault::default() }).await;
    platform.put("vms/vm-2", &listed("vm-2")).await;
    assert_eq!(platform.client("").vms().await, Ok(vec![]));
}
