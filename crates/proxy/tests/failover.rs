//! Primaries that fail or are taken out of service while a client writes.

mod common;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use chicoryhollow_config::configuration::Service;
use chicoryhollow_testkit::platform::Fault;
use common::{Deployment, MAX_WAIT, callers::values};
use tokio_postgres::{Client, NoTls};

/// Data centres of the daemons: one daemon in each data centre with a server.
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// Maximum time without an acknowledged write after a single fault. It is shorter
/// than the time limit of a request, so that no request may wait until its limit.
const MAX_WRITE_GAP: Duration = Duration::from_secs(9);

fn run(test: impl Future<Output = ()>) {
    actix::System::new().block_on(async {
        tokio::time::timeout(MAX_WAIT * 4, test).await.expect("the test ends in time");
    });
}

/// Writes numbered rows and records which of them were acknowledged.
struct Writer {
    daemon: usize,
    client: Client,
    next: i64,
    acknowledged: BTreeSet<i64>,
}

impl Writer {
    async fn start(deployment: &Deployment, daemon: usize) -> Self {
        let client = deployment.client(daemon, None).await;
        client.batch_execute("CREATE TABLE lots (id bigint)").await.expect("the table is made");
        Writer { daemon, client, next: 0, acknowledged: BTreeSet::new() }
    }

    /// Writes one row and returns whether it was acknowledged.
    async fn write(&mut self, deployment: &Deployment) -> bool {
        if self.client.is_closed() {
            self.client = deployment.client(self.daemon, None).await;
        }
        let id = self.next;
        self.next += 1;
        let sql = format!("INSERT INTO lots (id) VALUES ({id})");
        let acknowledged = self.client.batch_execute(&sql).await.is_ok();
        if acknowledged {
            self.acknowledged.insert(id);
        }
        acknowledged
    }

    async fn write_rows(&mut self, deployment: &Deployment, rows: usize) {
        for _ in 0..rows {
            assert!(self.write(deployment).await, "a write fails without a fault");
        }
    }

    /// Writes until a row is acknowledged, and prints how long it took.
    async fn write_until_acknowledged(&mut self, deployment: &Deployment, fault: &str) {
        let start = Instant::now();
        while !self.write(deployment).await {
            assert!(start.elapsed() < MAX_WRITE_GAP, "no write is acknowledged after: {fault}");
        }
        let gap = start.elapsed();
        assert!(gap < MAX_WRITE_GAP, "no write is acknowledged for {gap:?} after: {fault}");
        println!("{fault}: {gap:?} until an acknowledged write");
    }

    /// Checks that every acknowledged row exists and that no row exists twice.
    async fn check_rows(&self, deployment: &Deployment) {
        let reader = deployment.client(self.daemon, None).await;
        let found = values(&reader, "SELECT id FROM lots ORDER BY id").await;
        let rows: Vec<i64> = found.iter().map(|id| id.parse().expect("a number")).collect();
        let distinct: BTreeSet<i64> = rows.iter().copied().collect();
        assert_eq!(rows.len(), distinct.len(), "a row was written twice");
        let lost: Vec<_> = self.acknowledged.difference(&distinct).collect();
        assert!(lost.is_empty(), "acknowledged rows are lost: {lost:?}");
    }
}

/// Returns a column of a server's status.
async fn status(deployment: &Deployment, server: usize, column: &str) -> Option<String> {
    let address = deployment.servers[server].as_ref()?.address();
    let mut config = tokio_postgres::Config::new();
    config.host("127.0.0.1").port(address.port()).user("chicoryhollow_control").dbname("postgres");
    let (client, connection) = config.connect(NoTls).await.ok()?;
    tokio::spawn(connection);
    let sql = "SELECT * FROM chicoryhollow.status()";
    let messages = client.simple_query(sql).await.ok()?;
    messages.into_iter().find_map(|message| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => row.get(column).map(str::to_owned),
        _ => None,
    })
}

async fn is_primary(deployment: &Deployment, server: usize) -> bool {
    status(deployment, server, "role").await.as_deref() == Some("primary")
}

#[test]
fn no_acknowledged_write_is_lost_when_the_primary_is_killed() {
    run(async {
        let mut deployment = Deployment::start(&DATA_CENTRES).await;
        let mut writer = Writer::start(&deployment, 1).await;
        writer.write_rows(&deployment, 50).await;
        deployment.servers[0] = None;
        writer.write_until_acknowledged(&deployment, "primary killed").await;
        writer.write_rows(&deployment, 50).await;
        writer.check_rows(&deployment).await;
    });
}

#[test]
fn no_acknowledged_write_is_lost_when_the_primary_and_the_daemon_in_its_data_centre_are_killed() {
    run(async {
        let mut deployment = Deployment::start(&DATA_CENTRES).await;
        let mut writer = Writer::start(&deployment, 1).await;
        writer.write_rows(&deployment, 20).await;
        deployment.daemons[0].child.kill().expect("the daemon is killed");
        deployment.servers[0] = None;
        writer.write_until_acknowledged(&deployment, "primary and daemon killed").await;
        writer.check_rows(&deployment).await;
    });
}

#[test]
fn failover_works_without_the_platform() {
    run(async {
        let mut deployment = Deployment::start(&DATA_CENTRES).await;
        let mut writer = Writer::start(&deployment, 2).await;
        writer.write_rows(&deployment, 20).await;
        deployment.set_fault(&Fault { outage: true, ..Fault::default() }).await;
        deployment.servers[0] = None;
        writer.write_until_acknowledged(&deployment, "primary killed without the platform").await;
        writer.check_rows(&deployment).await;
    });
}

#[test]
fn daemons_that_do_not_watch_a_group_use_its_new_primary() {
    run(async {
        let mut deployment = Deployment::start(&["a", "b", "c", "a", "b", "c"]).await;
        let mut writers = Vec::new();
        for daemon in 0..6 {
            let client = deployment.client(daemon, None).await;
            writers.push(Writer { daemon, client, next: 0, acknowledged: BTreeSet::new() });
        }
        let table = "CREATE TABLE lots (id bigint)";
        writers[0].client.batch_execute(table).await.expect("the table is made");
        for writer in &mut writers {
            writer.next = i64::try_from(writer.daemon).expect("a small number") * 1_000;
            writer.write_rows(&deployment, 5).await;
        }
        deployment.servers[0] = None;
        for writer in &mut writers {
            let fault = format!("primary killed, seen by daemon {}", writer.daemon);
            writer.write_until_acknowledged(&deployment, &fault).await;
        }
        for writer in &writers {
            writer.check_rows(&deployment).await;
        }
    });
}

/// Publishes the changed configuration and writes until `server` is no longer primary.
/// No write may fail in the meantime. Returns the duration of the longest write.
async fn write_until_moved(
    deployment: &mut Deployment,
    writer: &mut Writer,
    server: usize,
) -> Duration {
    deployment.apply().await;
    let start = Instant::now();
    let mut longest = Duration::ZERO;
    loop {
        for _ in 0..20 {
            let begun = Instant::now();
            assert!(writer.write(deployment).await, "a write fails during a planned failover");
            longest = longest.max(begun.elapsed());
        }
        if !is_primary(deployment, server).await {
            return longest;
        }
        assert!(start.elapsed() < MAX_WAIT, "the primary does not move");
    }
}

#[test]
fn taking_a_data_centre_out_of_service_moves_the_primary_without_an_error() {
    run(async {
        let mut deployment = Deployment::start(&DATA_CENTRES).await;
        let mut writer = Writer::start(&deployment, 1).await;
        writer.write_rows(&deployment, 20).await;
        deployment.configuration.data_centres[0].service = Service::Out;
        let longest = write_until_moved(&mut deployment, &mut writer, 0).await;
        println!("data centre out: longest write {longest:?}");
        writer.write_rows(&deployment, 50).await;
        writer.check_rows(&deployment).await;
    });
}

#[test]
fn taking_a_primary_out_of_service_moves_it_without_an_error() {
    run(async {
        let mut deployment = Deployment::start(&DATA_CENTRES).await;
        let mut writer = Writer::start(&deployment, 2).await;
        writer.write_rows(&deployment, 20).await;
        deployment.configuration.groups[0].servers[0].service = Service::Out;
        let longest = write_until_moved(&mut deployment, &mut writer, 0).await;
        println!("server leaving: longest write {longest:?}");
        writer.write_rows(&deployment, 50).await;
        writer.check_rows(&deployment).await;
    });
}
