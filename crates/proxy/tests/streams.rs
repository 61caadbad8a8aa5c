//! Streams from entries to homes, between nodes in the test process: connection
//! pools, confirmation of writes, outcomes of writes and broken links.

mod fleet;

use std::time::Duration;

use chicoryhollow_core::prelude::*;
use chicoryhollow_proxy::stream::{Access, StreamEvent};
use fleet::{Fleet, query, rows};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_streams_stay_within_the_limits_of_a_server() {
    let fleet = Fleet::start(1, 2, |_, options| {
        options.connections = 4;
        options.slots = 2;
        options.statement_time = Duration::from_millis(1);
    })
    .await;
    fleet.write(0, "CREATE TABLE t (id int)").await.expect("the table is made");
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..40 {
        let fleet = fleet.clone();
        tasks.spawn(async move {
            for step in 0..5 {
                let id = number * 100 + step;
                let sql = format!("INSERT INTO t (id) VALUES ({id})");
                let vm = usize::try_from(number % 2).expect("small");
                fleet.write(vm, &sql).await.expect("the write is run");
                let seen = fleet.read(vm, &format!("SELECT id FROM t WHERE id = {id}")).await;
                assert_eq!(seen.expect("the read is run"), [id.to_string()]);
            }
        });
    }
    while let Some(task) = tasks.join_next().await {
        task.expect("no stream fails");
    }
    assert_eq!(fleet.read(0, "SELECT count(*) FROM t").await.expect("a count"), ["200"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_dropped_stream_leaves_no_transaction_and_no_answer_behind() {
    let fleet = Fleet::start(1, 2, |_, options| options.connections = 2).await;
    fleet.write(0, "CREATE TABLE t (id int)").await.expect("the table is made");
    for vm in [0, 1] {
        let mut open = fleet.open(vm, Access::Write).await.expect("a stream");
        query(&mut open, "BEGIN", true).await.expect("it begins");
        query(&mut open, "INSERT INTO t (id) VALUES (1)", true).await.expect("it writes");
        drop(open);
        let mut slow = fleet.open(vm, Access::Write).await.expect("a stream");
        slow.send(fleet.batch("SELECT pg_sleep(5), 99", false)).await.expect("it is sent");
        tokio::time::sleep(Duration::from_millis(20)).await;
        drop(slow);
        let mut left = fleet.open(vm, Access::Write).await.expect("a stream");
        left.send(fleet.batch("SELECT 98", false)).await.expect("it is sent");
        drop(left);
        for _ in 0..20 {
            let seen = fleet.read(vm, "SELECT count(*) FROM t").await.expect("a count");
            assert_eq!(seen, ["0"], "an answer of another stream was received or a write was kept");
        }
        fleet.write(vm, "DELETE FROM t").await.expect("no lock is held");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_open_transaction_continues_while_other_statements_use_all_slots() {
    let fleet = Fleet::start(1, 2, |_, options| options.slots = 2).await;
    fleet.write(0, "CREATE TABLE t (id int)").await.expect("the table is made");
    for vm in [0, 1] {
        let mut open = fleet.open(vm, Access::Write).await.expect("a stream");
        query(&mut open, "BEGIN", true).await.expect("it begins");
        query(&mut open, "INSERT INTO t (id) VALUES (1)", true).await.expect("it writes");
        // Simulate statements that wait for a row that the transaction has locked.
        let mut holding = Vec::new();
        for _ in 0..2 {
            let mut stream = fleet.open(vm, Access::Write).await.expect("a stream");
            stream.send(fleet.batch("SELECT pg_sleep(4)", false)).await.expect("it is sent");
            holding.push(stream);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let committing = query(&mut open, "COMMIT", true);
        let committed = tokio::time::timeout(Duration::from_secs(1), committing).await;
        committed.expect("it does not wait for the others").expect("it commits");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_larger_than_the_window_arrive_completely() {
    let fleet = Fleet::start(1, 2, |_, _| {}).await;
    fleet.write(0, "CREATE TABLE t (id int, body text)").await.expect("the table is made");
    let body = "x".repeat(1_000);
    let values: Vec<String> = (0..1_000).map(|id| format!("({id}, '{body}')")).collect();
    let sql = format!("INSERT INTO t (id, body) VALUES {}", values.join(", "));
    fleet.write(0, &sql).await.expect("the rows are written");
    for vm in [0, 1] {
        let seen = fleet.read(vm, "SELECT id, body FROM t ORDER BY id").await.expect("rows");
        assert_eq!(seen.len(), 1_000, "vm {vm}");
        let mut slow = fleet.open(vm, Access::Barrier).await.expect("a stream");
        slow.send(fleet.batch("SELECT id, body FROM t ORDER BY id", false)).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(100)).await;
        let other = fleet.read(vm, "SELECT 1").await.expect("a slow caller does not delay others");
        assert_eq!(other, ["1"]);
        assert_eq!(rows(&mut slow).await.expect("rows").len(), 1_000);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_unconfirmed_write_is_reported_lost_if_the_new_primary_lacks_it() {
    for vm in [0, 1] {
        let fleet = Fleet::start(3, 2, |_, _| {}).await;
        fleet.write(0, "CREATE TABLE t (id int)").await.expect("the table is made");
        fleet.wait_caught_up().await;
        fleet.stop_replication(true).await;
        let writing = {
            let fleet = fleet.clone();
            tokio::spawn(async move { fleet.write(vm, "INSERT INTO t (id) VALUES (1)").await })
        };
        tokio::time::sleep(Duration::from_millis(150)).await;
        assert!(!writing.is_finished(), "an unconfirmed write is not acknowledged");
        fleet.promote(1, 2).await;
        let refused = writing.await.expect("the task ends").expect_err("the write is lost");
        assert_eq!(refused, Refusal::WriteLost, "vm {vm}");
        let count = fleet.read(vm, "SELECT count(*) FROM t").await.expect("a count");
        assert_eq!(count, ["0"]);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_commit_that_survives_the_failure_of_its_primary_is_acknowledged() {
    for vm in [0, 1] {
        let fleet = Fleet::start(3, 2, |_, _| {}).await;
        fleet.write(0, "CREATE TABLE t (id int)").await.expect("the table is made");
        let mut stream = fleet.open(vm, Access::Write).await.expect("a stream");
        query(&mut stream, "BEGIN", true).await.expect("it begins");
        query(&mut stream, "INSERT INTO t (id) VALUES (1)", true).await.expect("it writes");
        // The commit takes effect, but the answer of the server is lost.
        fleet.hold_answers(true);
        stream.send(fleet.batch("COMMIT", true)).await.expect("it is sent");
        tokio::time::sleep(Duration::from_millis(100)).await;
        fleet.kill(0);
        fleet.promote(1, 2).await;
        let answer = rows(&mut stream).await;
        assert_eq!(answer, Ok(Vec::new()), "vm {vm}");
        drop(stream);
        let count = fleet.read(vm, "SELECT count(*) FROM t").await.expect("a count");
        assert_eq!(count, ["1"]);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_write_is_reported_as_not_run_if_the_primary_fails_before_it_is_sent() {
    for vm in [0, 1] {
        let fleet = Fleet::start(3, 2, |_, _| {}).await;
        fleet.write(0, "CREATE TABLE t (id int)").await.expect("the table is made");
        fleet.hold_answers(true);
        let mut stream = fleet.open(vm, Access::Write).await.expect("a stream");
        let begun = std::time::Instant::now();
        // The transaction id cannot be determined, so the write is not sent.
        let unsent = {
            let batch = fleet.batch("INSERT INTO t (id) VALUES (1)", true);
            tokio::spawn(async move {
                stream.send(batch).await?;
                rows(&mut stream).await.map_err(Into::into)
            })
        };
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet.kill(0);
        fleet.promote(1, 2).await;
        let unsent: Result<_, chicoryhollow_proxy::stream::Refused> =
            unsent.await.expect("the task ends");
        let refusal = unsent.expect_err("the write is not run").refusal;
        assert!(begun.elapsed() < Duration::from_secs(2), "after {:?}", begun.elapsed());
        assert_eq!(refusal.outcome(), Outcome::NotRun, "{refusal:?}");
        let count = fleet.read(vm, "SELECT count(*) FROM t").await.expect("a count");
        assert_eq!(count, ["0"]);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_write_runs_at_most_once_and_has_a_known_outcome_if_its_link_breaks() {
    let fleet = Fleet::start(1, 2, |_, options| {
        options.statement_time = Duration::from_millis(30);
    })
    .await;
    fleet.write(0, "CREATE TABLE t (id int)").await.expect("the table is made");
    for id in 0..10 {
        let writing = {
            let fleet = fleet.clone();
            let sql = format!("INSERT INTO t (id) VALUES ({id})");
            tokio::spawn(async move { fleet.write(1, &sql).await })
        };
        tokio::time::sleep(Duration::from_millis(5 + id * 10)).await;
        fleet.close_links();
        let written = writing.await.expect("the task ends");
        let ids = fleet.read(0, &format!("SELECT id FROM t WHERE id = {id}")).await;
        let count = ids.expect("rows").len();
        match written {
            Ok(_) => assert_eq!(count, 1, "an acknowledged write ran once"),
            Err(refusal) => match refusal.outcome() {
                Outcome::NotRun => assert_eq!(count, 0, "{refusal:?}"),
                Outcome::Committed => assert_eq!(count, 1, "{refusal:?}"),
                Outcome::Unknown => panic!("the home knows the outcome: {refusal:?}"),
            },
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_home_that_stops_answering_is_detected_within_two_seconds() {
    let fleet = Fleet::start(1, 2, |_, _| {}).await;
    fleet.write(1, "CREATE TABLE t (id int)").await.expect("the table is made");
    let mut stream = fleet.open(1, Access::Barrier).await.expect("a stream");
    stream.send(fleet.batch("SELECT pg_sleep(5)", false)).await.expect("it is sent");
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.hold_links();
    let begun = std::time::Instant::now();
    let refused = rows(&mut stream).await.expect_err("the link is dead");
    assert_eq!(refused, Refusal::ReadInterrupted);
    assert!(begun.elapsed() < Duration::from_secs(2), "after {:?}", begun.elapsed());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_deadline_ends_only_its_own_statement() {
    let fleet = Fleet::start(1, 2, |_, options| options.connections = 2).await;
    for vm in [0, 1] {
        let mut stream = fleet.open(vm, Access::Barrier).await.expect("a stream");
        let mut batch = fleet.batch("SELECT pg_sleep(5), 97", false);
        batch.deadline = fleet.now(vm) + Duration::from_millis(100);
        stream.send(batch).await.expect("it is sent");
        let refused = rows(&mut stream).await.expect_err("it takes too long");
        assert_eq!(refused.outcome(), Outcome::NotRun, "{refused:?}");
        for _ in 0..10 {
            assert_eq!(fleet.read(vm, "SELECT 5").await.expect("a row"), ["5"]);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_homes_of_one_server_share_its_connection_limit() {
    let fleet = Fleet::start(1, 2, |_, options| options.connections = 3).await;
    fleet.write(0, "CREATE TABLE t (id int)").await.expect("the table is made");
    fleet.split_homes();
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..20 {
        let fleet = fleet.clone();
        tasks.spawn(async move {
            for _ in 0..5 {
                let vm = number % 2;
                let seen = fleet.read(vm, "SELECT count(*) FROM t").await;
                assert_eq!(seen.expect("a usable connection is left"), ["0"]);
            }
        });
    }
    while let Some(task) = tasks.join_next().await {
        task.expect("no stream fails");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn malformed_peer_messages_close_only_their_own_connection() {
    let fleet = Fleet::start(1, 2, |_, _| {}).await;
    let mut open = fleet.open(1, Access::Write).await.expect("a stream");
    query(&mut open, "BEGIN", true).await.expect("it begins");
    for garbage in [&[0xff; 64][..], b"GET / HTTP/1.1\r\n\r\n", &[0, 0, 0, 2, 0x0a, 0x7f]] {
        let address = fleet.node(0).settings.listen.peers;
        let mut socket = tokio::net::TcpStream::connect(address).await.expect("a connection");
        socket.write_all(garbage).await.expect("it is sent");
        let mut answer = Vec::new();
        let closed = tokio::time::timeout(Duration::from_secs(5), socket.read_to_end(&mut answer));
        // The connection may be closed regularly or by a reset.
        drop(closed.await.expect("the connection is closed"));
    }
    assert_eq!(query(&mut open, "SELECT 3", false).await.expect("a row"), ["3"]);
    query(&mut open, "COMMIT", true).await.expect("it commits");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_home_finishes_its_open_transactions() {
    let fleet = Fleet::start(1, 2, |_, _| {}).await;
    fleet.write(1, "CREATE TABLE t (id int)").await.expect("the table is made");
    let mut open = fleet.open(1, Access::Write).await.expect("a stream");
    query(&mut open, "BEGIN", true).await.expect("it begins");
    let finishing = {
        let node = std::sync::Arc::clone(fleet.node(0));
        tokio::spawn(async move { node.peers.finish().await })
    };
    tokio::time::sleep(Duration::from_millis(50)).await;
    let refused = fleet.write(1, "INSERT INTO t (id) VALUES (1)").await;
    assert_eq!(refused, Err(Refusal::HomeUnreachable));
    query(&mut open, "INSERT INTO t (id) VALUES (2)", true)
        .await
        .expect("the transaction continues");
    assert!(!finishing.is_finished());
    query(&mut open, "COMMIT", true).await.expect("it commits");
    drop(open);
    let finished = tokio::time::timeout(Duration::from_secs(5), finishing).await;
    finished.expect("the home finishes").expect("the task ends");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn another_vm_replaces_an_unreachable_home() {
    let fleet = Fleet::start(1, 3, |_, _| {}).await;
    let home = fleet.join_data_centres();
    let entry = (home + 1) % 3;
    assert_eq!(fleet.read(entry, "SELECT 1").await.expect("a row"), ["1"]);
    fleet.hold_node(home, true);
    let begun = std::time::Instant::now();
    while fleet.read(entry, "SELECT 2").await.is_err() {}
    assert!(begun.elapsed() < Duration::from_secs(3), "after {:?}", begun.elapsed());
    for _ in 0..20 {
        assert_eq!(fleet.read(entry, "SELECT 3").await.expect("a row"), ["3"]);
    }
    fleet.hold_node(home, false);
    for _ in 0..100 {
        assert_eq!(fleet.read(entry, "SELECT 4").await.expect("a row"), ["4"]);
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_replica_refuses_reads_until_it_has_applied_the_required_position() {
    let fleet = Fleet::start(3, 2, |_, _| {}).await;
    fleet.write(0, "CREATE TABLE t (id int)").await.expect("the table is made");
    fleet.control(1, "set_lag(0, 400)").await;
    let mut stream = fleet.open(0, Access::Write).await.expect("a stream");
    stream.send(fleet.batch("INSERT INTO t (id) VALUES (1)", true)).await.expect("it is sent");
    let written = loop {
        if let StreamEvent::Ready(ready) = stream.next().await.expect("an answer") {
            break ready.position.expect("a position");
        }
    };
    let replica = fleet::server_name(1);
    for vm in [0, 1] {
        let early = fleet.open_at(vm, &replica, Access::Read, Some(written)).await;
        let refused = match early {
            Ok(mut stream) => query(&mut stream, "SELECT id FROM t", false).await.map(drop),
            Err(refused) => Err(refused.refusal),
        };
        assert_eq!(refused, Err(Refusal::TooStale), "vm {vm}");
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for vm in [0, 1] {
        let opened = fleet.open_at(vm, &replica, Access::Read, Some(written)).await;
        let seen = query(&mut opened.expect("a stream"), "SELECT id FROM t", false).await;
        assert_eq!(seen.expect("a row"), ["1"], "vm {vm}");
    }
}
