//! Behaviour of the entry as callers see it, with a standard client.

mod common;

use std::time::{Duration, Instant};

use common::{
    Deployment, PRESS_KEY,
    callers::{code, refusal_code, run, start_with_table, values},
    raw::RawClient,
};
use futures_util::TryStreamExt;
use tokio_postgres::NoTls;

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
