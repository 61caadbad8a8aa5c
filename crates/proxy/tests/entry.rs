//! Behaviour of the entry as callers see it, with a standard client and with raw
//! messages.

mod common;

use std::time::{Duration, Instant};

use bytes::{BufMut, BytesMut};
use common::{Deployment, MAX_WAIT, PRESS_KEY, values};
use futures_util::TryStreamExt;
use pgwire::messages::{
    Message,
    cancel::CancelRequest,
    extendedquery::{Bind, Close, Describe, Execute, Flush, Parse, Sync},
    simplequery::Query,
    startup::{SecretKey, Startup},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use tokio_postgres::{Client, NoTls};

fn run(test: impl Future<Output = ()>) {
    actix::System::new().block_on(async {
        tokio::time::timeout(MAX_WAIT * 2, test).await.expect("the test ends in time");
    });
}

fn code(error: &tokio_postgres::Error) -> String {
    error.code().map(|code| code.code().to_owned()).unwrap_or_default()
}

async fn refusal_code(client: &Client, sql: &str) -> String {
    client.simple_query(sql).await.err().as_ref().map(code).unwrap_or_default()
}

async fn start_with_table() -> (Deployment, Client) {
    let deployment = Deployment::start(&["a", "b"]).await;
    let client = deployment.client(0, None).await;
    client.simple_query("CREATE TABLE t (id int, name text)").await.expect("the table is made");
    (deployment, client)
}

/// A caller that sends and reads single protocol messages.
struct RawClient {
    socket: TcpStream,
    input: BytesMut,
    last: BytesMut,
    key: Option<(i32, i32)>,
}

impl RawClient {
    /// Connects on the route that is open to all callers and needs no key.
    async fn connect(deployment: &Deployment, daemon: usize) -> Self {
        let address = deployment.daemons[daemon].callers;
        let socket = TcpStream::connect(address).await.expect("the daemon listens");
        let mut raw =
            RawClient { socket, input: BytesMut::new(), last: BytesMut::new(), key: None };
        let mut startup = Startup::new();
        startup.parameters.insert("user".to_owned(), "anybody".to_owned());
        startup.parameters.insert("database".to_owned(), "open".to_owned());
        raw.send(&[&startup]).await;
        assert!(raw.read_until_ready().await.ends_with('Z'));
        raw
    }

    async fn send(&mut self, messages: &[&dyn Encoded]) {
        let mut bytes = BytesMut::new();
        messages.iter().for_each(|message| message.put(&mut bytes));
        self.socket.write_all(&bytes).await.expect("the daemon reads");
    }

    /// Reads one message and returns its tag, or `None` at the end of the connection.
    async fn next(&mut self) -> Option<char> {
        loop {
            if let Some(header) = self.input.first_chunk::<5>() {
                let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
                let length = length as usize + 1;
                if self.input.len() >= length {
                    self.last = self.input.split_to(length);
                    self.record_key();
                    return Some(char::from(self.last[0]));
                }
            }
            if self.socket.read_buf(&mut self.input).await.ok()? == 0 {
                return None;
            }
        }
    }

    fn record_key(&mut self) {
        if let [b'K', _, _, _, _, p0, p1, p2, p3, s0, s1, s2, s3] = self.last[..] {
            let process = i32::from_be_bytes([p0, p1, p2, p3]);
            self.key = Some((process, i32::from_be_bytes([s0, s1, s2, s3])));
        }
    }

    /// Reads messages up to `ReadyForQuery` or the end of the connection, and returns
    /// their tags without those of `ParameterStatus`.
    async fn read_until_ready(&mut self) -> String {
        let mut tags = String::new();
        while let Some(tag) = self.next().await {
            if tag != 'S' {
                tags.push(tag);
            }
            if tag == 'Z' {
                break;
            }
        }
        tags
    }

    async fn read_tags(&mut self, count: usize) -> String {
        let mut tags = String::new();
        while tags.len() < count {
            tags.push(self.next().await.expect("the connection stays open"));
        }
        tags
    }
}

/// A message in its encoded form.
trait Encoded {
    fn put(&self, bytes: &mut BytesMut);
}

impl<T: Message> Encoded for T {
    fn put(&self, bytes: &mut BytesMut) {
        self.encode(bytes).expect("the message is small");
    }
}

fn parse(name: &str, sql: &str) -> Parse {
    Parse::new(Some(name.to_owned()).filter(|n| !n.is_empty()), sql.to_owned(), Vec::new())
}

fn bind(statement: &str) -> Bind {
    Bind::new(None, Some(statement.to_owned()), Vec::new(), Vec::new(), Vec::new())
}

fn execute() -> Execute {
    Execute::new(None, 0)
}

#[test]
fn answers_come_in_the_order_of_the_messages() {
    run(async {
        let (deployment, _client) = start_with_table().await;
        let mut raw = RawClient::connect(&deployment, 1).await;
        let sync = Sync::new();
        raw.send(&[&parse("a", "SELECT 1"), &bind("a"), &execute(), &sync]).await;
        assert_eq!(raw.read_until_ready().await, "12DCZ");
        // The second statement fails after the first one has run.
        let bad = parse("b", "SELECT * FROM missing");
        raw.send(&[&bind("a"), &execute(), &bad, &bind("b"), &execute(), &sync]).await;
        assert_eq!(raw.read_until_ready().await, "2DCEZ");
        // A statement whose `Parse` failed does not exist.
        raw.send(&[&bind("b"), &execute(), &sync]).await;
        assert_eq!(raw.read_until_ready().await, "EZ");
        // Two statements in one batch, executed one after the other.
        let (c, d) = (parse("c", "SELECT 2"), parse("d", "SELECT 3"));
        raw.send(&[&c, &d, &bind("c"), &execute(), &bind("d"), &execute(), &sync]).await;
        assert_eq!(raw.read_until_ready().await, "112DC2DCZ");
        let close = Close::new(b'S', Some("c".to_owned()));
        raw.send(&[&bind("d"), &close, &execute(), &sync]).await;
        assert_eq!(raw.read_until_ready().await, "23DCZ");
        raw.send(&[&bind("c"), &sync, &bind("d"), &execute(), &sync]).await;
        assert_eq!(raw.read_until_ready().await, "EZ");
        assert_eq!(raw.read_until_ready().await, "2DCZ");
        let describe = Describe::new(b'S', Some("d".to_owned()));
        raw.send(&[&describe, &sync]).await;
        assert_eq!(raw.read_until_ready().await, "tTZ");
        raw.send(&[&parse("d", "SELECT 4"), &sync]).await;
        assert_eq!(raw.read_until_ready().await, "EZ");
        raw.send(&[&sync]).await;
        assert_eq!(raw.read_until_ready().await, "Z");
        raw.send(&[&parse("", ""), &bind(""), &execute(), &sync]).await;
        assert_eq!(raw.read_until_ready().await, "12IZ");
        raw.send(&[&Query::new(String::new())]).await;
        assert_eq!(raw.read_until_ready().await, "IZ");
    });
}

#[test]
fn a_flush_is_answered_before_the_sync() {
    run(async {
        let (deployment, _client) = start_with_table().await;
        let mut raw = RawClient::connect(&deployment, 0).await;
        let (flush, sync) = (Flush::new(), Sync::new());
        let describe = Describe::new(b'S', Some("a".to_owned()));
        raw.send(&[&parse("a", "SELECT id FROM t"), &describe, &flush]).await;
        assert_eq!(raw.read_tags(3).await, "1tT");
        raw.send(&[&bind("a"), &execute(), &sync]).await;
        assert_eq!(raw.read_until_ready().await, "2CZ");
        // After an error everything up to the `Sync` is skipped.
        raw.send(&[&parse("b", "SELECT * FROM missing"), &flush]).await;
        assert_eq!(raw.read_tags(1).await, "E");
        raw.send(&[&bind("a"), &execute(), &sync]).await;
        assert_eq!(raw.read_until_ready().await, "Z");
        // Outside of a transaction a `Flush` after `Execute` is refused. To answer it,
        // the proxy would have to send a `Sync`, which would commit early.
        let insert = parse("c", "INSERT INTO t VALUES (7, 'x')");
        raw.send(&[&insert, &bind("c"), &execute(), &flush]).await;
        assert_eq!(raw.read_tags(1).await, "E");
        raw.send(&[&sync]).await;
        assert_eq!(raw.read_until_ready().await, "Z");
        let check = deployment.client(0, None).await;
        assert_eq!(values(&check, "SELECT count(*) FROM t").await, ["0"]);
    });
}

#[test]
fn a_flush_between_execute_and_sync_is_accepted() {
    run(async {
        let (deployment, _client) = start_with_table().await;
        let mut raw = RawClient::connect(&deployment, 0).await;
        let (flush, sync) = (Flush::new(), Sync::new());
        // The order of messages that pg8000 sends, which flushes after each step.
        let describe = Describe::new(b'S', Some(String::new()));
        raw.send(&[&parse("", "INSERT INTO t VALUES (7, 'x')"), &flush]).await;
        assert_eq!(raw.read_tags(1).await, "1");
        raw.send(&[&describe, &flush, &sync]).await;
        assert_eq!(raw.read_until_ready().await, "tnZ");
        raw.send(&[&bind(""), &execute(), &flush, &sync]).await;
        assert_eq!(raw.read_until_ready().await, "2CZ");
        raw.send(&[&parse("q", "SELECT id FROM t"), &flush, &bind("q"), &flush]).await;
        raw.send(&[&execute(), &flush, &sync]).await;
        assert_eq!(raw.read_until_ready().await, "12DCZ");
        let check = deployment.client(0, None).await;
        assert_eq!(values(&check, "SELECT count(*) FROM t").await, ["1"]);
    });
}

#[test]
fn transactions_stay_on_one_connection_and_end_as_in_postgresql() {
    run(async {
        let (deployment, mut client) = start_with_table().await;
        let other = deployment.client(1, None).await;
        let transaction = client.transaction().await.expect("a transaction");
        transaction.execute("INSERT INTO t VALUES (1, 'a')", &[]).await.expect("the row");
        assert_eq!(values(&other, "SELECT count(*) FROM t").await, ["0"]);
        transaction.commit().await.expect("the commit");
        let unknown = deployment.client(1, None).await;
        assert_eq!(values(&unknown, "SELECT count(*) FROM t").await, ["1"]);
        let transaction = client.transaction().await.expect("a transaction");
        transaction.execute("INSERT INTO t VALUES (2, 'b')", &[]).await.expect("the row");
        transaction.rollback().await.expect("the rollback");
        assert_eq!(values(&client, "SELECT count(*) FROM t").await, ["1"]);
        // A refused statement aborts the transaction, whose commit then rolls back.
        client.simple_query("BEGIN").await.expect("a transaction");
        client.simple_query("INSERT INTO t VALUES (3, 'c')").await.expect("the row");
        assert_eq!(refusal_code(&client, "LISTEN x").await, "0A000");
        let error = client.simple_query("LISTEN y").await.expect_err("a refusal");
        assert_eq!(error.code().map(|code| code.code()), Some("0A000"));
        let named = error.as_db_error().and_then(|error| error.detail());
        assert_eq!(named, Some("LISTEN y"), "the refusal names the statement");
        assert_eq!(refusal_code(&client, "SELECT 1").await, "25P02");
        client.simple_query("COMMIT").await.expect("the end");
        assert_eq!(values(&client, "SELECT count(*) FROM t").await, ["1"]);
        // An empty transaction has no effect.
        client.simple_query("BEGIN").await.expect("a transaction");
        client.simple_query("COMMIT").await.expect("the end");
        // A transaction declared as read-only sees the writes of its session.
        client.simple_query("BEGIN READ ONLY").await.expect("a transaction");
        assert_eq!(values(&client, "SELECT count(*) FROM t").await, ["1"]);
        client.simple_query("ROLLBACK").await.expect("the end");
    });
}

#[test]
fn statements_that_connection_pooling_cannot_support_are_refused() {
    run(async {
        let (_deployment, client) = start_with_table().await;
        for sql in [
            "SET search_path = x",
            "COPY t FROM STDIN",
            "CREATE TEMP TABLE x (a int)",
            "SELECT pg_advisory_lock(1)",
            "SELECT * FROM chicoryhollow.status()",
            "PREPARE p AS SELECT 1",
        ] {
            assert_eq!(refusal_code(&client, sql).await, "0A000", "{sql}");
        }
        for sql in ["SET application_name = 'x'", "DISCARD ALL", "RESET ALL"] {
            client.simple_query(sql).await.expect("an accepted command");
        }
        assert_eq!(values(&client, "SELECT 1").await, ["1"]);
    });
}

#[test]
fn large_answers_arrive_completely() {
    run(async {
        let (_deployment, client) = start_with_table().await;
        let name = "x".repeat(1_000);
        let rows = vec![format!("(1, '{name}')"); 500].join(",");
        for _ in 0..4 {
            client.simple_query(&format!("INSERT INTO t VALUES {rows}")).await.expect("the rows");
        }
        let none: [&str; 0] = [];
        let rows = client.query_raw("SELECT id, name FROM t", none).await.expect("an answer");
        let rows: Vec<_> = rows.try_collect().await.expect("all rows");
        assert_eq!(rows.len(), 2_000);
        assert!(rows.iter().all(|row| row.get::<_, &str>(1).len() == 1_000));
    });
}

#[test]
fn a_forged_token_delays_only_its_sender() {
    run(async {
        let (deployment, client) = start_with_table().await;
        for token in ["orders=1/999999", "orders=99/1"] {
            let forger = deployment.client(1, Some(token)).await;
            let begun = Instant::now();
            assert_eq!(refusal_code(&forger, "SELECT count(*) FROM t").await, "57P03", "{token}");
            assert!(begun.elapsed() < Duration::from_secs(4), "{token}");
            let honest = deployment.client(1, None).await;
            let begun = Instant::now();
            assert_eq!(values(&honest, "SELECT count(*) FROM t").await, ["0"]);
            assert!(begun.elapsed() < Duration::from_millis(500), "{token}");
        }
        assert_eq!(values(&client, "SELECT count(*) FROM t").await, ["0"]);
    });
}

#[test]
fn a_withdrawn_key_closes_the_connections_of_its_callers() {
    run(async {
        let (mut deployment, client) = start_with_table().await;
        let idle = deployment.client(0, None).await;
        client.simple_query("BEGIN").await.expect("a transaction");
        client.simple_query("INSERT INTO t VALUES (1, 'a')").await.expect("the row");
        deployment.configuration.keys.shift_remove("press-key");
        let begun = Instant::now();
        deployment.apply().await;
        while !client.is_closed() || !idle.is_closed() {
            assert!(begun.elapsed() < Duration::from_secs(5), "the callers are still connected");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let again = deployment.connect(0, "press-key", PRESS_KEY, "orders", None).await;
        assert_eq!(again.err().as_ref().map(code).as_deref(), Some("28P01"));
        let raw = RawClient::connect(&deployment, 1).await;
        drop(raw);
        let open = deployment.connect(1, "anybody", "", "open", None).await.expect("a session");
        assert_eq!(values(&open, "SELECT count(*) FROM t").await, ["0"]);
    });
}

#[test]
fn a_drain_lets_transactions_end_and_refuses_new_callers() {
    run(async {
        let (mut deployment, busy) = start_with_table().await;
        let idle = deployment.client(0, None).await;
        busy.simple_query("BEGIN").await.expect("a transaction");
        busy.simple_query("INSERT INTO t VALUES (1, 'a')").await.expect("the row");
        let process = deployment.daemons[0].child.id().to_string();
        let sent = std::process::Command::new("kill").args(["-TERM", &process]).status();
        assert!(sent.expect("the signal is sent").success());
        while !idle.is_closed() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let late = deployment.connect(0, "press-key", PRESS_KEY, "orders", None).await;
        assert_eq!(late.err().as_ref().map(code).as_deref(), Some("57P01"));
        busy.simple_query("INSERT INTO t VALUES (2, 'b')").await.expect("the row");
        busy.simple_query("COMMIT").await.expect("the commit");
        let ended = deployment.daemons[0].child.wait().expect("the daemon ends");
        assert!(ended.success());
        deployment.remove_daemon(0).await;
        let check = deployment.client(1, None).await;
        assert_eq!(values(&check, "SELECT count(*) FROM t").await, ["2"]);
    });
}

#[test]
fn a_cancel_request_reaches_the_statement_from_any_vm() {
    run(async {
        let (deployment, client) = start_with_table().await;
        let token = client.cancel_token();
        let statement = client.simple_query("SELECT pg_sleep(8)");
        let cancel = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            token.cancel_query(NoTls).await.expect("the request is sent");
        };
        let begun = Instant::now();
        let (answer, ()) = tokio::join!(statement, cancel);
        assert_eq!(answer.err().as_ref().map(code).as_deref(), Some("57014"));
        assert!(begun.elapsed() < Duration::from_secs(4));
        assert_eq!(values(&client, "SELECT 1").await, ["1"]);
        drop(deployment);
    });
}

#[test]
fn malformed_input_closes_only_its_own_connection() {
    run(async {
        let (deployment, client) = start_with_table().await;
        let frame = |tag: u8, body: &[u8]| {
            let mut bytes = BytesMut::new();
            bytes.put_u8(tag);
            bytes.put_u32(u32::try_from(body.len()).expect("a short body") + 4);
            bytes.put_slice(body);
            bytes
        };
        let cases = [
            frame(b'P', b""),
            frame(b'P', b"no end"),
            frame(b'B', b"\0\0\0"),
            frame(b'D', b""),
            frame(b'E', b"\0"),
            frame(b'?', b"x"),
            frame(b'p', b"late"),
            BytesMut::from(&b"Q\xff\xff\xff\xff"[..]),
            BytesMut::from(&b"Q\0\0\0\x01"[..]),
        ];
        for bytes in cases {
            let mut raw = RawClient::connect(&deployment, 0).await;
            raw.socket.write_all(&bytes).await.expect("the daemon reads");
            assert_eq!(raw.read_until_ready().await, "E", "{bytes:?}");
        }
        for bytes in [&b"\0\0\0\x04"[..], b"GET / HTTP/1.1\r\n\r\n", &[0xff; 64]] {
            let address = deployment.daemons[0].callers;
            let socket = TcpStream::connect(address).await.expect("the daemon listens");
            let mut raw =
                RawClient { socket, input: BytesMut::new(), last: BytesMut::new(), key: None };
            raw.socket.write_all(bytes).await.expect("the daemon reads");
            assert_eq!(raw.read_until_ready().await, "E", "{bytes:?}");
        }
        assert_eq!(values(&client, "SELECT 1").await, ["1"]);
    });
}

#[test]
fn a_cancel_request_needs_the_secret_and_may_go_to_another_vm() {
    run(async {
        let (deployment, _client) = start_with_table().await;
        let mut raw = RawClient::connect(&deployment, 0).await;
        let (process, secret) = raw.key.expect("key data");
        raw.send(&[&Query::new("SELECT pg_sleep(8)".to_owned())]).await;
        let begun = Instant::now();
        for (number, tried) in [(1, secret ^ 1), (1, secret)] {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let address = deployment.daemons[number].callers;
            let mut socket = TcpStream::connect(address).await.expect("the daemon listens");
            let mut bytes = BytesMut::new();
            CancelRequest::new(process, SecretKey::I32(tried)).put(&mut bytes);
            socket.write_all(&bytes).await.expect("the daemon reads");
            assert_eq!(socket.read(&mut [0; 1]).await.unwrap_or(0), 0, "no answer is due");
        }
        assert_eq!(raw.read_until_ready().await, "EZ");
        assert!(begun.elapsed() > Duration::from_millis(500), "the wrong secret was accepted");
        assert!(begun.elapsed() < Duration::from_secs(4));
    });
}

#[test]
fn a_write_waits_for_a_new_primary() {
    run(async {
        let (mut deployment, client) = start_with_table().await;
        client.simple_query("INSERT INTO t VALUES (1, 'a')").await.expect("the row");
        drop(deployment.servers[0].take());
        let write = client.simple_query("INSERT INTO t VALUES (2, 'b')");
        let promote = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            deployment.promote(1, 2).await;
        };
        let (written, ()) = tokio::join!(write, promote);
        written.expect("the write is not refused");
        assert_eq!(values(&client, "SELECT count(*) FROM t").await, ["2"]);
        let unknown = deployment.client(1, None).await;
        assert_eq!(values(&unknown, "SELECT count(*) FROM t").await, ["2"]);
    });
}

#[test]
fn reads_with_a_maximum_age_are_refused_once_the_primary_is_gone_for_that_long() {
    run(async {
        let (mut deployment, client) = start_with_table().await;
        client.simple_query("INSERT INTO t VALUES (1, 'a')").await.expect("the row");
        let aged = deployment.connect(1, "anybody", "", "aged", None).await.expect("a session");
        assert_eq!(values(&aged, "SELECT count(*) FROM t").await, ["1"]);
        // One server of three is no majority, so it is not promoted.
        drop(deployment.servers[0].take());
        drop(deployment.servers[2].take());
        let gone = Instant::now();
        let mut served = Duration::ZERO;
        while aged.simple_query("SELECT count(*) FROM t").await.is_ok() {
            served = gone.elapsed();
            assert!(served < Duration::from_millis(common::MAX_AGE_MS + 200), "served {served:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(served > Duration::from_millis(common::MAX_AGE_MS / 4), "served {served:?}");
    });
}

#[test]
fn replicas_serve_nine_of_ten_reads_and_no_read_is_stale() {
    run(async {
        for lag_ms in [0, 45] {
            let lag = Duration::from_millis(lag_ms);
            let deployment = Deployment::start_with_lag(&["a", "b"], lag).await;
            let client = deployment.client(0, None).await;
            client.simple_query("CREATE TABLE t (id int)").await.expect("the table is made");
            for i in 0..40 {
                let insert = format!("INSERT INTO t VALUES ({i})");
                client.simple_query(&insert).await.expect("the row");
                for _ in 0..5 {
                    let count = values(&client, "SELECT count(*) FROM t").await;
                    assert_eq!(count, [(i + 1).to_string()]);
                }
            }
            let share = deployment.replica_share(0).await;
            assert!(share >= 0.9, "replicas served {share} at a lag of {lag_ms} ms");
        }
    });
}
