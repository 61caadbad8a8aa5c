//! SQL, transactions and limits of a stand-in backend server.

mod common;

use std::time::Duration;

use chicoryhollow_testkit::load::client::{Client, Identity};
use common::{Group, code};
use tokio_postgres::{SimpleQueryMessage, types::Type};

#[tokio::test]
async fn simple_queries_run_in_order() {
    let group = Group::start(1, |_, _| {}).await;
    let client = group.client(0).await;
    let text = "CREATE TABLE t (a INT8 PRIMARY KEY, b TEXT); \
                INSERT INTO t VALUES (1, 'x'), (2, 'y'); SELECT b FROM t WHERE a = 2";
    let messages = client.simple_query(text).await.expect("answers");
    let found = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    assert_eq!(found.as_deref(), Some("y"));
}

#[tokio::test]
async fn prepared_statements_carry_typed_values() {
    let group = Group::start(1, |_, _| {}).await;
    let client = group.client(0).await;
    client.batch_execute("CREATE TABLE t (a INT8 PRIMARY KEY, b TEXT, c INT4)").await.expect("DDL");
    let insert = "INSERT INTO t (a, b, c) VALUES ($1, $2, $3)";
    let changed = client.execute(insert, &[&7_i64, &"seven", &70_i32]).await.expect("a write");
    assert_eq!(changed, 1);
    let row = client.query_one("SELECT a, b, c FROM t WHERE a = $1", &[&7_i64]).await;
    let row = row.expect("a row");
    assert_eq!((row.get(0), row.get(1), row.get(2)), (7_i64, "seven", 70_i32));
    let count = client.query_typed("SELECT count(*) FROM t WHERE b = $1", &[(&"x", Type::TEXT)]);
    assert_eq!(count.await.expect("a count")[0].get::<_, i64>(0), 0);
}

#[tokio::test]
async fn writes_of_a_transaction_are_visible_to_others_after_its_commit() {
    let group = Group::start(1, |_, _| {}).await;
    let (mut writer, reader) = (group.client(0).await, group.client(0).await);
    writer.batch_execute("CREATE TABLE t (a INT8)").await.expect("DDL");
    let count = "SELECT count(*) FROM t";
    let transaction = writer.transaction().await.expect("BEGIN");
    transaction.execute("INSERT INTO t VALUES (1)", &[]).await.expect("a write");
    let own: i64 = transaction.query_one(count, &[]).await.expect("own rows").get(0);
    let other: i64 = reader.query_one(count, &[]).await.expect("other rows").get(0);
    assert_eq!((own, other), (1, 0));
    transaction.execute("INSERT INTO t VALUES (2)", &[]).await.expect("a second write");
    transaction.commit().await.expect("COMMIT");
    let other: i64 = reader.query_one(count, &[]).await.expect("other rows").get(0);
    assert_eq!(other, 2);
}

#[tokio::test]
async fn open_transactions_do_not_wait_for_each_other() {
    let group = Group::start(1, |_, _| {}).await;
    let (first, second) = (group.client(0).await, group.client(0).await);
    first.batch_execute("CREATE TABLE t (a INT8 PRIMARY KEY, b INT8)").await.expect("DDL");
    first.batch_execute("INSERT INTO t VALUES (1, 0)").await.expect("a row");
    for client in [&first, &second] {
        client.batch_execute("BEGIN; UPDATE t SET b = b + 1 WHERE a = 1").await.expect("a write");
        client.batch_execute("INSERT INTO t VALUES (2, 0)").await.expect("a write");
    }
    first.batch_execute("COMMIT").await.expect("the first commit");
    let error = second.batch_execute("COMMIT").await.expect_err("a conflict");
    assert_eq!(code(&error), "40001");
    let b: i64 = first.query_one("SELECT b FROM t WHERE a = 1", &[]).await.expect("a row").get(0);
    assert_eq!(b, 1);
}

#[tokio::test]
async fn a_failed_transaction_is_rolled_back() {
    let group = Group::start(1, |_, _| {}).await;
    let client = group.client(0).await;
    client.batch_execute("CREATE TABLE t (a INT8 PRIMARY KEY)").await.expect("DDL");
    client.batch_execute("BEGIN; INSERT INTO t VALUES (1)").await.expect("a write");
    let error = client.batch_execute("INSERT INTO t VALUES (1)").await.expect_err("a duplicate");
    assert_eq!(code(&error), "23505");
    let error = client.batch_execute("SELECT 1").await.expect_err("an aborted transaction");
    assert_eq!(code(&error), "25P02");
    client.batch_execute("COMMIT").await.expect("the end");
    let count: i64 = client.query_one("SELECT count(*) FROM t", &[]).await.expect("rows").get(0);
    assert_eq!(count, 0);
}

#[tokio::test]
async fn the_transaction_of_a_disconnected_client_is_rolled_back() {
    let group = Group::start(1, |_, _| {}).await;
    let (first, second) = (group.client(0).await, group.client(0).await);
    first.batch_execute("CREATE TABLE t (a INT8)").await.expect("DDL");
    first.batch_execute("BEGIN; INSERT INTO t VALUES (1)").await.expect("a write");
    drop(first);
    let write = second.batch_execute("INSERT INTO t VALUES (2)");
    tokio::time::timeout(common::TEST_TIMEOUT, write).await.expect("in time").expect("a write");
    let count: i64 = second.query_one("SELECT count(*) FROM t", &[]).await.expect("rows").get(0);
    assert_eq!(count, 1);
}

#[tokio::test]
async fn the_status_of_a_transaction_id_is_its_outcome() {
    let group = Group::start(1, |_, _| {}).await;
    let client = group.client(0).await;
    client.batch_execute("CREATE TABLE t (a INT8)").await.expect("DDL");
    for (end, expected) in [("COMMIT", "committed"), ("ROLLBACK", "aborted")] {
        client.batch_execute("BEGIN").await.expect("BEGIN");
        let row = client.query_one("SELECT pg_current_xact_id()::text", &[]).await;
        let xid: String = row.expect("an id").get(0);
        client.batch_execute("INSERT INTO t VALUES (1)").await.expect("a write");
        client.batch_execute(end).await.expect("the end");
        let status = format!("SELECT pg_xact_status({xid})");
        let status: String = client.query_one(&status, &[]).await.expect("a status").get(0);
        assert_eq!(status, expected);
    }
}

#[tokio::test]
async fn connections_beyond_the_limit_are_refused() {
    let group = Group::start(1, |_, options| options.connections = 1).await;
    let _held = group.client(0).await;
    let error = group.connect(0, "chicoryhollow").await.expect_err("a refusal");
    assert_eq!(code(&error), "53300");
    group.control(0).await;
}

#[tokio::test]
async fn a_cancelled_statement_ends_early() {
    let group = Group::start(1, |_, _| {}).await;
    let client = group.client(0).await;
    let token = client.cancel_token();
    let cancel = async {
        // Repeated, since the first request may arrive before the statement.
        loop {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let _ = token.cancel_query(tokio_postgres::NoTls).await;
        }
    };
    let error = tokio::select! {
        result = client.simple_query("SELECT pg_sleep(60)") => result.expect_err("a cancel"),
        () = cancel => unreachable!("the requests never stop"),
    };
    assert_eq!(code(&error), "57014");
}

#[tokio::test]
async fn each_write_reports_a_later_position() {
    let group = Group::start(1, |_, _| {}).await;
    let mut client =
        Client::new(group.addresses[0], &Identity::default(), None).await.expect("a client");
    let writes = [
        "CREATE TABLE t (a INT8)",
        "INSERT INTO t VALUES (1)",
        "BEGIN; INSERT INTO t VALUES (2)",
        "COMMIT",
    ];
    let mut positions = Vec::new();
    for text in writes {
        client.simple_query(text).await.expect("a write");
        positions.push(client.parameter("chicoryhollow.position").map(str::to_owned));
    }
    let expected = ["1/1", "1/2", "1/2", "1/3"].map(|position| Some(position.to_owned()));
    assert_eq!(positions, expected);
}

#[tokio::test]
async fn a_client_that_is_idle_in_a_transaction_is_disconnected() {
    let group = Group::start(1, |_, _| {}).await;
    let (silent, other) = (group.client(0).await, group.client(0).await);
    silent.batch_execute("CREATE TABLE t (a INT8)").await.expect("DDL");
    silent.batch_execute("SET idle_in_transaction_session_timeout = 100").await.expect("SET");
    silent.batch_execute("BEGIN; INSERT INTO t VALUES (1)").await.expect("a write");
    let ended = async {
        while !silent.is_closed() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(common::TEST_TIMEOUT, ended).await.expect("the server ends the session");
    let count: i64 = other.query_one("SELECT count(*) FROM t", &[]).await.expect("rows").get(0);
    assert_eq!(count, 0);
    silent.batch_execute("COMMIT").await.expect_err("an ended connection");
}
