//! Primaries that fail or leave while a client writes.

mod common;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use chicoryhollow_config::configuration::Service;
use chicoryhollow_testkit::platform::Fault;
use common::{Deployment, PATIENCE, values};
use tokio_postgres::{Client, NoTls};

/// Data centres of the daemons, one in each of those with a server.
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// Longest time without an acknowledged write after any single fault. It is
/// below the time limit of a request, so that no request waits that one out.
const LONGEST_GAP: Duration = Duration::from_secs(9);

fn run(test: impl Future<Output = ()>) {
    actix::System::new().block_on(async {
        tokio::time::timeout(PATIENCE * 4, test).await.expect("the test ends in time");
    });
}

/// Writes numbered rows and remembers which of them were acknowledged.
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

    /// Writes one row; returns whether it was acknowledged.
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

    async fn write_many(&mut self, deployment: &Deployment, rows: usize) {
        for _ in 0..rows {
            assert!(self.write(deployment).await, "a write fails without a fault");
        }
    }

    /// Writes until a row is acknowledged and prints how long that took.
    async fn write_again(&mut self, deployment: &Deployment, fault: &str) {
        let start = Instant::now();
        while !self.write(deployment).await {
            assert!(start.elapsed() < LONGEST_GAP, "no write is acknowledged after: {fault}");
        }
        let gap = start.elapsed();
        assert!(gap < LONGEST_GAP, "no write is acknowledged for {gap:?} after: {fault}");
        println!("{fault}: {gap:?} until an acknowledged write");
    }

    /// Checks that every acknowledged row is there exactly once.
    async fn check(&self, deployment: &Deployment) {
        let reader = deployment.client(self.daemon, None).await;
        let found = values(&reader, "SELECT id FROM lots ORDER BY id").await;
        let rows: Vec<i64> = found.iter().map(|id| id.parse().expect("a number")).collect();
        let distinct: BTreeSet<i64> = rows.iter().copied().collect();
        assert_eq!(rows.len(), distinct.len(), "a row was written twice");
        let lost: Vec<_> = self.acknowledged.difference(&distinct).collect();
        assert!(lost.is_empty(), "acknowledged rows are lost: {lost:?}");
    }
}

/// Returns the column of a server's status.
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
fn a_killed_primary_loses_no_acknowledged_write() {
    run(async {
        let mut deployment = Deployment::start(&DATA_CENTRES).await;
        let mut writer = Writer::start(&deployment, 1).await;
        writer.write_many(&deployment, 50).await;
        deployment.servers[0] = None;
        writer.write_again(&deployment, "primary killed").await;
        writer.write_many(&deployment, 50).await;
        writer.check(&deployment).await;
    });
}

#[test]
fn a_primary_and_the_daemon_beside_it_may_die_together() {
    run(async {
        let mut deployment = Deployment::start(&DATA_CENTRES).await;
        let mut writer = Writer::start(&deployment, 1).await;
        writer.write_many(&deployment, 20).await;
        deployment.daemons[0].child.kill().expect("the daemon is killed");
        deployment.servers[0] = None;
        writer.write_again(&deployment, "primary and daemon killed").await;
        writer.check(&deployment).await;
    });
}

#[test]
fn failover_needs_no_platform() {
    run(async {
        let mut deployment = Deployment::start(&DATA_CENTRES).await;
        let mut writer = Writer::start(&deployment, 2).await;
        writer.write_many(&deployment, 20).await;
        deployment.fault(&Fault { outage: true, ..Fault::default() }).await;
        deployment.servers[0] = None;
        writer.write_again(&deployment, "primary killed without the platform").await;
        writer.check(&deployment).await;
    });
}

#[test]
fn daemons_that_do_not_watch_learn_the_new_primary() {
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
            writer.write_many(&deployment, 5).await;
        }
        deployment.servers[0] = None;
        for writer in &mut writers {
            let fault = format!("primary killed, seen by daemon {}", writer.daemon);
            writer.write_again(&deployment, &fault).await;
        }
        for writer in &writers {
            writer.check(&deployment).await;
        }
    });
}

/// Applies the present configuration and writes until `server` is no longer
/// primary; no write may fail meanwhile. Returns the longest write.
async fn move_away(deployment: &mut Deployment, writer: &mut Writer, server: usize) -> Duration {
    deployment.apply().await;
    let start = Instant::now();
    let mut longest = Duration::ZERO;
    loop {
        for _ in 0..20 {
            let begun = Instant::now();
            assert!(writer.write(deployment).await, "a write fails during a planned move");
            longest = longest.max(begun.elapsed());
        }
        if !is_primary(deployment, server).await {
            return longest;
        }
        assert!(start.elapsed() < PATIENCE, "the primary does not move");
    }
}

#[test]
fn a_data_centre_taken_out_moves_the_primary_without_an_error() {
    run(async {
        let mut deployment = Deployment::start(&DATA_CENTRES).await;
        let mut writer = Writer::start(&deployment, 1).await;
        writer.write_many(&deployment, 20).await;
        deployment.configuration.data_centres[0].service = Service::Out;
        let longest = move_away(&mut deployment, &mut writer, 0).await;
        println!("data centre out: longest write {longest:?}");
        writer.write_many(&deployment, 50).await;
        writer.check(&deployment).await;
    });
}

#[test]
fn a_leaving_primary_hands_over_without_an_error() {
    run(async {
        let mut deployment = Deployment::start(&DATA_CENTRES).await;
        let mut writer = Writer::start(&deployment, 2).await;
        writer.write_many(&deployment, 20).await;
        deployment.configuration.groups[0].servers[0].service = Service::Out;
        let longest = move_away(&mut deployment, &mut writer, 0).await;
        println!("server leaving: longest write {longest:?}");
        writer.write_many(&deployment, 50).await;
        writer.check(&deployment).await;
    });
}
