//! Holding new writes on a stand-in backend server (`quiesce`).

mod common;

use std::time::{Duration, Instant};

use common::{Group, code, row};
use tokio_postgres::Client;

/// Longest hold after the server has reported that it is quiet.
const QUIESCED_HOLD_LIMIT: Duration = Duration::from_millis(500);

async fn is_quiet(control: &Client, timeout_ms: u64) -> bool {
    row(control, &format!("quiesce({timeout_ms})")).await.get("quiet") == Some("t")
}

async fn group_with_table() -> Group {
    let group = Group::start(3, |_, _| {}).await;
    let client = group.client(0).await;
    client.batch_execute("CREATE TABLE t (a INT8)").await.expect("DDL");
    group
}

#[tokio::test]
async fn a_server_is_quiet_once_its_open_write_transaction_has_ended() {
    let group = group_with_table().await;
    let (open, control) = (group.client(0).await, group.control(0).await);
    open.batch_execute("BEGIN; INSERT INTO t VALUES (1)").await.expect("a write");
    assert!(!is_quiet(&control, 50).await, "a transaction is open");
    tokio::time::sleep(QUIESCED_HOLD_LIMIT).await;
    let finish = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        open.batch_execute("INSERT INTO t VALUES (2)")
            .await
            .expect("an open transaction continues");
        open.batch_execute("COMMIT").await.expect("a commit");
    };
    let (quiet, ()) = tokio::join!(is_quiet(&control, 20_000), finish);
    assert!(quiet, "the transaction has ended");
}

#[tokio::test]
async fn a_server_is_quiet_while_open_transactions_have_only_read() {
    let group = group_with_table().await;
    let (open, control) = (group.client(0).await, group.control(0).await);
    open.batch_execute("BEGIN; SELECT a FROM t").await.expect("a read");
    assert!(is_quiet(&control, 20_000).await, "nothing was written");
    let write = open.batch_execute("INSERT INTO t VALUES (1)");
    let fence = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        row(&control, "fence(2, 'vm-1')").await;
    };
    let (written, _) = tokio::join!(write, fence);
    assert_eq!(code(&written.expect_err("a fenced server")), "25006");
}

#[tokio::test]
async fn held_writes_continue_if_no_fence_follows() {
    let group = group_with_table().await;
    let (writer, control) = (group.client(0).await, group.control(0).await);
    assert!(is_quiet(&control, 20_000).await, "nothing is open");
    let begun = Instant::now();
    writer.batch_execute("INSERT INTO t VALUES (1)").await.expect("a write after the hold");
    assert!(begun.elapsed() >= QUIESCED_HOLD_LIMIT / 2, "held for {:?}", begun.elapsed());
}

#[tokio::test]
async fn writes_continue_immediately_after_a_failed_hold() {
    let group = group_with_table().await;
    let (open, control) = (group.client(0).await, group.control(0).await);
    open.batch_execute("BEGIN; INSERT INTO t VALUES (1)").await.expect("a write");
    assert!(!is_quiet(&control, 50).await, "a transaction is open");
    open.batch_execute("ROLLBACK").await.expect("a rollback");
    assert!(!is_quiet(&control, 50).await, "writes run between two holds");
    let writer = group.client(0).await;
    writer.batch_execute("INSERT INTO t VALUES (2)").await.expect("a write");
}

#[tokio::test]
async fn a_replica_does_not_report_that_it_is_quiet() {
    let group = group_with_table().await;
    assert!(!is_quiet(&group.control(1).await, 50).await, "a replica");
}
