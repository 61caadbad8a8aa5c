//! Changes of the configuration while callers are connected.

mod common;

use std::time::Duration;

use chicoryhollow_config::{Verifier, configuration::Service};
use chicoryhollow_testkit::platform::Fault;
use common::{
    Deployment, PRESS_KEY,
    callers::{run, values},
};
use tokio_postgres::Client;

/// Maximum time until a daemon applies a changed configuration.
const MAX_APPLY_TIME: Duration = Duration::from_secs(5);

/// Waits until the daemon has closed a caller's connection.
async fn wait_closed(client: &Client) {
    let closed = async {
        while !client.is_closed() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(MAX_APPLY_TIME, closed).await.expect("the connection is closed in time");
}

async fn refusal_code(deployment: &Deployment, daemon: usize) -> Option<String> {
    let refused = deployment.connect(daemon, "press-key", PRESS_KEY, "orders", None).await;
    refused.err().and_then(|error| error.code().map(|code| code.code().to_owned()))
}

#[test]
fn a_withdrawn_key_closes_its_connections_and_rolls_back_their_transactions() {
    run(async {
        let mut deployment = Deployment::start(&["a", "b", "c"]).await;
        let idle = deployment.client(0, None).await;
        idle.simple_query("CREATE TABLE t (id int)").await.expect("the table is made");
        let open = deployment.client(1, None).await;
        open.simple_query("BEGIN").await.expect("a transaction");
        open.simple_query("INSERT INTO t (id) VALUES (1)").await.expect("a row");
        let key = deployment.configuration.keys.swap_remove("press-key").expect("a key");
        deployment.apply().await;
        wait_closed(&idle).await;
        wait_closed(&open).await;
        deployment.wait_version(2, MAX_APPLY_TIME).await;
        assert_eq!(refusal_code(&deployment, 2).await.as_deref(), Some("28P01"));
        deployment.configuration.keys.insert("press-key".parse().expect("a name"), key);
        deployment.apply().await;
        deployment.wait_version(2, MAX_APPLY_TIME).await;
        let again = deployment.client(2, None).await;
        assert_eq!(values(&again, "SELECT count(*) FROM t").await, ["0"]);
    });
}

#[test]
fn a_replaced_key_closes_the_connections_that_used_the_old_one() {
    run(async {
        let mut deployment = Deployment::start(&["a"]).await;
        let caller = deployment.client(0, None).await;
        let key = deployment.configuration.keys.get_mut("press-key").expect("a key");
        key.verifier = Verifier::new("another", [8; 16], 4_096);
        deployment.apply().await;
        wait_closed(&caller).await;
        assert_eq!(refusal_code(&deployment, 0).await.as_deref(), Some("28P01"));
    });
}

#[test]
fn a_data_centre_out_of_service_finishes_transactions_and_accepts_no_new_work() {
    run(async {
        let mut deployment = Deployment::start(&["a", "b"]).await;
        let idle = deployment.client(0, None).await;
        idle.simple_query("CREATE TABLE t (id int)").await.expect("the table is made");
        let open = deployment.client(0, None).await;
        open.simple_query("BEGIN").await.expect("a transaction");
        open.simple_query("INSERT INTO t (id) VALUES (1)").await.expect("a row");
        let set = |deployment: &mut Deployment, service| {
            deployment.configuration.data_centres["a"].service = service;
        };
        set(&mut deployment, Service::Out);
        deployment.apply().await;
        wait_closed(&idle).await;
        assert_eq!(refusal_code(&deployment, 0).await.as_deref(), Some("57P01"));
        open.simple_query("INSERT INTO t (id) VALUES (2)")
            .await
            .expect("the transaction continues");
        open.simple_query("COMMIT").await.expect("the transaction is finished");
        wait_closed(&open).await;
        let other = deployment.client(1, None).await;
        assert_eq!(values(&other, "SELECT count(*) FROM t").await, ["2"]);
        set(&mut deployment, Service::In);
        deployment.apply().await;
        deployment.wait_ready(0).await;
        let back = deployment.client(0, None).await;
        assert_eq!(values(&back, "SELECT count(*) FROM t").await, ["2"]);
    });
}

#[test]
fn a_data_centre_cut_off_from_the_platform_gets_the_configuration_from_peers() {
    run(async {
        let mut deployment = Deployment::start(&["a", "b", "c"]).await;
        let outage = Fault {
            data_centre: Some("b".parse().expect("a name")),
            outage: true,
            ..Fault::default()
        };
        deployment.set_fault(&outage).await;
        // The daemon asks its peers after the platform has not answered for a while.
        tokio::time::sleep(Duration::from_secs(4)).await;
        let caller = deployment.client(1, None).await;
        deployment.configuration.keys.clear();
        deployment.apply().await;
        deployment.wait_version(1, MAX_APPLY_TIME).await;
        wait_closed(&caller).await;
    });
}

#[test]
fn most_daemons_of_a_data_centre_learn_from_others() {
    run(async {
        let mut deployment = Deployment::start(&["a"; 6]).await;
        // By then the list of VMs has passed through the tree to all daemons.
        tokio::time::sleep(MAX_APPLY_TIME).await;
        let before = deployment.counts().await.reads;
        let span = Duration::from_secs(4);
        tokio::time::sleep(span).await;
        let reads = deployment.counts().await.reads - before;
        // Two readers read the row and the list about once per second.
        assert!(reads <= 4 * (span.as_secs() + 2), "{reads} reads in {span:?}");
        let mut callers = Vec::new();
        for daemon in 0..6 {
            callers.push(deployment.client(daemon, None).await);
        }
        deployment.configuration.keys.clear();
        deployment.apply().await;
        for caller in &callers {
            wait_closed(caller).await;
        }
    });
}

#[test]
fn a_daemon_that_starts_during_an_outage_gets_configuration_and_vms_from_a_seed() {
    run(async {
        let mut deployment = Deployment::start(&["a", "b"]).await;
        deployment.set_fault(&Fault { outage: true, ..Fault::default() }).await;
        deployment.start_daemon("vm-2", "c").await;
        deployment.wait_ready(2).await;
        deployment.wait_version(2, MAX_APPLY_TIME).await;
        let caller = deployment.client(2, None).await;
        caller.simple_query("CREATE TABLE t (id int)").await.expect("the table is made");
    });
}

#[test]
fn a_daemon_refuses_requests_while_its_configuration_is_too_old() {
    run(async {
        let mut deployment = Deployment::start(&[]).await;
        deployment.stale_ms = 3_000;
        deployment.start_daemon("vm-0", "a").await;
        deployment.wait_ready(0).await;
        let caller = deployment.client(0, None).await;
        caller.simple_query("CREATE TABLE t (id int)").await.expect("the table is made");
        deployment.set_fault(&Fault { outage: true, ..Fault::default() }).await;
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_eq!(refusal_code(&deployment, 0).await.as_deref(), Some("57P03"));
        let refused = caller.simple_query("SELECT 1").await.expect_err("a stale configuration");
        assert_eq!(refused.code().map(|code| code.code()), Some("57P03"));
        deployment.set_fault(&Fault::default()).await;
        deployment.wait_ready(0).await;
        assert_eq!(values(&caller, "SELECT count(*) FROM t").await, ["0"]);
    });
}

#[test]
fn callers_are_served_during_an_outage_of_the_platform() {
    run(async {
        let mut deployment = Deployment::start(&["a", "b"]).await;
        deployment.set_fault(&Fault { outage: true, ..Fault::default() }).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let caller = deployment.client(0, None).await;
        caller.simple_query("CREATE TABLE t (id int)").await.expect("the table is made");
        deployment.set_fault(&Fault::default()).await;
        deployment.configuration.routes.clear();
        deployment.apply().await;
        wait_closed(&caller).await;
    });
}
