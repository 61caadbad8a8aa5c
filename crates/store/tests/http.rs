//! Answers of the platform that stop arriving.

use std::{net::SocketAddr, time::Duration};

use chicoryhollow_store::{HttpPlatform, Platform, PlatformError};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Time limit of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time for a request to be given up.
const MAX_WAIT: Duration = Duration::from_secs(6);

/// Starts a platform that sends the head of each answer and the first byte of the body.
async fn start() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    actix::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix::spawn(answer(stream));
        }
    });
    address
}

async fn answer(mut stream: TcpStream) {
    let mut request = [0; 4_096];
    if stream.read(&mut request).await.is_err() {
        return;
    }
    let part = b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{";
    stream.write_all(part).await.expect("the client reads");
    // The read ends when the client closes the connection.
    let _ = stream.read(&mut request).await;
}

/// The time limit covered the head of an answer only.
#[actix::test]
async fn an_answer_that_stops_midway_is_given_up() {
    let platform = HttpPlatform::new(format!("http://{}", start().await), REQUEST_TIMEOUT);
    let is_given_up = |error: Option<PlatformError>| matches!(error, Some(PlatformError::Unavailable(reason)) if reason.contains("midway"));
    let row = timeout(MAX_WAIT, platform.get("configuration")).await.expect("the read ends");
    assert!(is_given_up(row.err()));
    let vms = timeout(MAX_WAIT, platform.vms()).await.expect("the list ends");
    assert!(is_given_up(vms.err()));
    let swap = platform.swap("configuration", 1, serde_json::json!({}));
    let swapped = timeout(MAX_WAIT, swap).await.expect("the write ends");
    assert!(is_given_up(swapped.err()));
}
