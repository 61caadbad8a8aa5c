//! Links of the fault proxy.

use std::{net::SocketAddr, time::Duration};

use chicoryhollow_testkit::fault::{Flow, Link, LinkState};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Longest wait for an event that should happen immediately.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which no byte may arrive.
const SILENCE_DURATION: Duration = Duration::from_millis(100);

async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    address
}

async fn echo(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_all(b"x").await?;
    stream.read_u8().await
}

#[tokio::test]
async fn bytes_held_by_a_link_arrive_after_it_is_restored() {
    let cut = [
        LinkState::default().cut(),
        LinkState { forward: Flow::Hold, ..LinkState::default() },
        LinkState { backward: Flow::Hold, ..LinkState::default() },
    ];
    let link = Link::new(echo_server().await).await.expect("a link");
    let mut stream = TcpStream::connect(link.address()).await.expect("a connection");
    for state in cut {
        echo(&mut stream).await.expect("an echo");
        link.set(state);
        assert!(timeout(SILENCE_DURATION, echo(&mut stream)).await.is_err(), "{state:?}");
        link.set(LinkState::default());
        let late = timeout(TEST_TIMEOUT, stream.read_u8()).await.expect("in time");
        assert_eq!(late.expect("the held byte"), b'x');
    }
}

#[tokio::test]
async fn a_closed_link_ends_its_connections() {
    let link = Link::new(echo_server().await).await.expect("a link");
    let mut stream = TcpStream::connect(link.address()).await.expect("a connection");
    echo(&mut stream).await.expect("an echo");
    link.set(LinkState { closed: true, ..LinkState::default() });
    let ended = timeout(TEST_TIMEOUT, stream.read_u8()).await.expect("in time");
    ended.expect_err("a closed connection");
}

#[tokio::test]
async fn a_delay_applies_in_each_direction() {
    let link = Link::new(echo_server().await).await.expect("a link");
    link.set(LinkState::with_delay(Duration::from_millis(20)));
    let mut stream = TcpStream::connect(link.address()).await.expect("a connection");
    let began = std::time::Instant::now();
    echo(&mut stream).await.expect("an echo");
    assert!(began.elapsed() >= Duration::from_millis(40));
}
