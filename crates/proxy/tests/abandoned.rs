//! Open transactions whose caller disconnects or whose entry or home is killed.

mod common;

use std::time::Duration;

use chicoryhollow_testkit::backend::CONTROL_ROLE;
use common::{
    Deployment, PRESS_KEY,
    callers::{run, values},
};
use tokio::{task::JoinHandle, time::timeout};
use tokio_postgres::{Client, NoTls};

/// Time within which an abandoned transaction is rolled back and its connection
/// released.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);

/// Number of transactions that are abandoned one after the other. It exceeds the
/// connections of a server.
const ABANDONED_TRANSACTIONS: usize = 25;

/// A caller whose socket can be closed without a `Terminate` message.
struct Caller {
    client: Client,
    socket: JoinHandle<()>,
}

impl Caller {
    async fn new(deployment: &Deployment, daemon: usize) -> Self {
        let mut config = tokio_postgres::Config::new();
        let callers = deployment.daemons[daemon].callers;
        config.host(callers.ip().to_string()).port(callers.port());
        config.user("press-key").password(PRESS_KEY).dbname("orders");
        let (client, connection) = config.connect(NoTls).await.expect("a session");
        let socket = tokio::spawn(async move { drop(connection.await) });
        Caller { client, socket }
    }

    /// Opens a transaction, writes in it and returns its id.
    async fn begin(&self) -> String {
        self.client.batch_execute("BEGIN").await.expect("it begins");
        self.client.batch_execute("INSERT INTO t (id) VALUES (1)").await.expect("it writes");
        let ids = values(&self.client, "SELECT pg_current_xact_id()").await;
        ids.into_iter().next().expect("an id")
    }

    /// Closes the socket.
    fn disconnect(self) {
        self.socket.abort();
    }
}

/// Starts daemons and creates the table. The primary is in data centre `a`.
async fn start(data_centres: &[&str]) -> Deployment {
    let deployment = Deployment::start(data_centres).await;
    let client = deployment.client(0, None).await;
    client.batch_execute("CREATE TABLE t (id int)").await.expect("the table is made");
    deployment
}

/// Waits until the primary has rolled back the transactions, and then writes to the
/// same table through the daemon.
async fn assert_released(deployment: &Deployment, daemon: usize, ids: &[String]) {
    let released = async {
        let control = control(deployment).await;
        for id in ids {
            let query = format!("SELECT pg_xact_status('{id}')");
            while values(&control, &query).await != ["aborted"] {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        let other = deployment.client(daemon, None).await;
        other.batch_execute("DELETE FROM t").await.expect("the write goes through");
    };
    timeout(RELEASE_LIMIT, released)
        .await
        .expect("the transactions are rolled back and their locks released in time");
}

async fn control(deployment: &Deployment) -> Client {
    let group = deployment.configuration.groups.values().next().expect("a group");
    let address = group.servers.values().next().expect("a server").address;
    let config = format!("host={} port={} user={CONTROL_ROLE}", address.ip(), address.port());
    let (client, connection) = tokio_postgres::connect(&config, NoTls).await.expect("a server");
    tokio::spawn(connection);
    client
}

#[test]
fn transactions_of_disconnected_callers_are_rolled_back() {
    run(async {
        let deployment = start(&["a", "b"]).await;
        for daemon in [0, 1] {
            let mut ids = Vec::new();
            for _ in 0..ABANDONED_TRANSACTIONS {
                let caller = Caller::new(&deployment, daemon).await;
                ids.push(caller.begin().await);
                caller.disconnect();
            }
            assert_released(&deployment, 1 - daemon, &ids).await;
        }
    });
}

#[test]
fn transactions_of_callers_that_disconnect_during_a_statement_are_rolled_back() {
    run(async {
        let deployment = start(&["a", "b"]).await;
        for daemon in [0, 1] {
            let mut ids = Vec::new();
            for _ in 0..ABANDONED_TRANSACTIONS {
                let caller = Caller::new(&deployment, daemon).await;
                ids.push(caller.begin().await);
                let statement = caller.client.batch_execute("SELECT pg_sleep(0.3)");
                timeout(Duration::from_millis(20), statement)
                    .await
                    .expect_err("the statement is still running");
                caller.disconnect();
            }
            assert_released(&deployment, 1 - daemon, &ids).await;
        }
    });
}

#[test]
fn transactions_are_rolled_back_when_the_entry_is_killed() {
    run(async {
        let mut deployment = start(&["a", "b", "c"]).await;
        let (idle, busy) = (Caller::new(&deployment, 2).await, Caller::new(&deployment, 2).await);
        let ids = [idle.begin().await, busy.begin().await];
        let statement = busy.client.batch_execute("SELECT pg_sleep(1)");
        timeout(Duration::from_millis(50), statement)
            .await
            .expect_err("the statement is still running");
        deployment.daemons[2].child.kill().expect("the daemon is killed");
        for daemon in [0, 1] {
            assert_released(&deployment, daemon, &ids).await;
        }
    });
}

#[test]
fn transactions_are_rolled_back_when_the_home_is_killed() {
    run(async {
        let mut deployment = start(&["a", "b", "a"]).await;
        let callers = [Caller::new(&deployment, 1).await, Caller::new(&deployment, 1).await];
        let ids = [callers[0].begin().await, callers[1].begin().await];
        let statement = callers[1].client.batch_execute("SELECT pg_sleep(1)");
        timeout(Duration::from_millis(50), statement)
            .await
            .expect_err("the statement is still running");
        // One of the two VMs in the primary's data centre is its home.
        for home in [0, 2] {
            deployment.daemons[home].child.kill().expect("the daemon is killed");
        }
        let control = control(&deployment).await;
        let released = async {
            for id in &ids {
                let query = format!("SELECT pg_xact_status('{id}')");
                while values(&control, &query).await != ["aborted"] {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        };
        timeout(RELEASE_LIMIT, released)
            .await
            .expect("the primary rolls back the transactions in time");
    });
}
