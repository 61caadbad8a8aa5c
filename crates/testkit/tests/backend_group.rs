//! Replication, fencing and promotion of stand-in backend servers.

mod common;

use std::time::Duration;

use common::{Group, code, number, row, try_row};

async fn count(group: &Group, server: usize) -> i64 {
    let client = group.client(server).await;
    client.query_one("SELECT count(*) FROM t", &[]).await.expect("a count").get(0)
}

#[tokio::test]
async fn writes_are_replicated_and_confirmed() {
    let group = Group::start(3, |_, _| {}).await;
    let client = group.client(0).await;
    client.batch_execute("CREATE TABLE t (a INT8)").await.expect("DDL");
    client.batch_execute("INSERT INTO t VALUES (1)").await.expect("a write");
    let answer = row(&group.control(0).await, "await_confirmed(2, 20000)").await;
    assert_eq!((number(&answer, "term"), number(&answer, "confirmed")), (1, 2));
    for server in [1, 2] {
        group.wait_for(server, "applied", 2).await;
        assert_eq!(count(&group, server).await, 1);
    }
    let error = group.client(1).await.batch_execute("INSERT INTO t VALUES (2)").await;
    assert_eq!(code(&error.expect_err("a replica")), "25006");
}

#[tokio::test]
async fn a_lagging_replica_receives_records_before_it_applies_them() {
    let group = Group::start(3, |_, options| options.apply_lag = Duration::from_secs(3_600)).await;
    let client = group.client(0).await;
    client.batch_execute("CREATE TABLE t (a INT8)").await.expect("DDL");
    group.wait_for(1, "received", 1).await;
    let control = group.control(1).await;
    assert_eq!(number(&row(&control, "status()").await, "applied"), 0);
    row(&control, "set_lag(0, 0)").await;
    group.wait_for(1, "applied", 1).await;
}

#[tokio::test]
async fn nothing_is_confirmed_without_a_majority() {
    let mut group = Group::start(3, |_, _| {}).await;
    let control = group.control(0).await;
    row(&control, "barrier(20000)").await;
    group.servers[1] = None;
    group.servers[2] = None;
    let client = group.client(0).await;
    client.batch_execute("CREATE TABLE t (a INT8)").await.expect("DDL");
    let answer = row(&control, "await_confirmed(1, 200)").await;
    assert_eq!(number(&answer, "confirmed"), 0);
    let error = try_row(&control, "barrier(200)").await.expect_err("no majority");
    assert_eq!(code(&error), "57014");
}

#[tokio::test]
async fn a_promotion_removes_unconfirmed_records() {
    let hour = Duration::from_secs(3_600);
    let group = Group::start(3, |_, _| {}).await;
    let client = group.client(0).await;
    client.batch_execute("CREATE TABLE t (a INT8)").await.expect("DDL");
    client.batch_execute("INSERT INTO t VALUES (1)").await.expect("a write");
    for server in [1, 2] {
        group.wait_for(server, "applied", 2).await;
        let lag = format!("set_lag({}, 0)", hour.as_millis());
        row(&group.control(server).await, &lag).await;
    }
    client.batch_execute("INSERT INTO t VALUES (2)").await.expect("a write that is lost");
    for server in [1, 2] {
        let control = group.control(server).await;
        assert_eq!(row(&control, "fence(2, 'vm-1')").await.get("granted"), Some("t"));
        row(&control, "set_lag(0, 0)").await;
    }
    let promoted = row(&group.control(1).await, "promote(2, 'vm-1', 's0,s1,s2', 1)").await;
    assert_eq!((promoted.get("granted"), number(&promoted, "lsn")), (Some("t"), 2));
    group.wait_for(0, "term", 2).await;
    assert_eq!(row(&group.control(0).await, "status()").await.get("role"), Some("replica"));
    assert_eq!(count(&group, 0).await, 1);
    let error = client.batch_execute("INSERT INTO t VALUES (3)").await.expect_err("deposed");
    assert_eq!(code(&error), "25006");
    group.client(1).await.batch_execute("INSERT INTO t VALUES (4)").await.expect("a write");
    row(&group.control(1).await, "await_confirmed(3, 20000)").await;
    group.wait_for(0, "applied", 3).await;
    assert_eq!(count(&group, 0).await, 2);
}

#[tokio::test]
async fn only_one_owner_of_a_term_is_granted_fences_by_a_majority() {
    let group = Group::start(3, |_, _| {}).await;
    let grants = [(1, "vm-1", "t"), (2, "vm-2", "t"), (2, "vm-1", "f"), (1, "vm-2", "f")];
    for (server, owner, granted) in grants {
        let call = format!("fence(2, '{owner}')");
        let answer = row(&group.control(server).await, &call).await;
        assert_eq!(answer.get("granted"), Some(granted), "{server} {owner}");
    }
    let answer = row(&group.control(2).await, "promote(2, 'vm-1', 's0,s1,s2', 1)").await;
    assert_eq!(answer.get("granted"), Some("f"));
}

#[tokio::test]
async fn a_fenced_primary_refuses_writes_and_commits() {
    let group = Group::start(3, |_, _| {}).await;
    let (open, other) = (group.client(0).await, group.client(0).await);
    open.batch_execute("CREATE TABLE t (a INT8)").await.expect("DDL");
    open.batch_execute("BEGIN; INSERT INTO t VALUES (1)").await.expect("a write");
    row(&group.control(0).await, "fence(2, 'vm-1')").await;
    for (client, text) in [(&open, "COMMIT"), (&other, "INSERT INTO t VALUES (2)")] {
        let error = client.batch_execute(text).await.expect_err("fenced");
        assert_eq!(code(&error), "25006", "{text}");
    }
    assert_eq!(count(&group, 0).await, 0);
    let error = try_row(&group.control(0).await, "barrier(100)").await.expect_err("fenced");
    assert_eq!(code(&error), "25006");
}

#[tokio::test]
async fn members_change_one_at_a_time() {
    let group = Group::start(3, |_, _| {}).await;
    let control = group.control(0).await;
    row(&control, "barrier(20000)").await;
    let cases = [
        ("set_members(1, 2, 's0')", "f"),
        ("set_members(1, 3, 's0,s1')", "f"),
        ("set_members(2, 2, 's0,s1')", "f"),
        ("set_members(1, 2, 's0,s1')", "t"),
    ];
    for (call, granted) in cases {
        assert_eq!(row(&control, call).await.get("granted"), Some(granted), "{call}");
    }
    let status = row(&control, "status()").await;
    assert_eq!((status.get("members"), number(&status, "members_version")), (Some("s0,s1"), 2));
}

#[tokio::test]
async fn a_pulse_has_the_values_of_the_status() {
    let group = Group::start(3, |_, _| {}).await;
    let client = group.client(0).await;
    client.batch_execute("CREATE TABLE t (a INT8)").await.expect("DDL");
    group.wait_for(1, "applied", 1).await;
    let control = group.control(1).await;
    for fence in [false, true] {
        if fence {
            row(&control, "fence(2, 'vm-1')").await;
        }
        let status = row(&control, "status()").await;
        let columns = ["role", "term", "fence_term", "members_version", "received", "applied"];
        let mut expected: Vec<&str> =
            columns.iter().map(|name| status.get(*name).expect("a column")).collect();
        expected.push("-1");
        let pulse = row(&control, "pulse()").await;
        assert_eq!(pulse.get("pulse"), Some(expected.join(" ").as_str()));
    }
}
