//! Behaviour of the entry towards callers that send single protocol messages.

mod common;

use std::time::{Duration, Instant};

use bytes::{BufMut, BytesMut};
use common::{
    callers::{run, start_with_table, values},
    raw::{Encoded, RawClient, bind, execute, parse},
};
use pgwire::messages::{
    cancel::CancelRequest,
    extendedquery::{Close, Describe, Flush, Sync},
    simplequery::Query,
    startup::SecretKey,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

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
            let mut raw = RawClient::open(&deployment, 0).await;
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
