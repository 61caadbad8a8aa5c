//! Closes connections so that the other side receives everything that was sent.
//!
//! A socket that is closed while it holds input that was not read, or that receives
//! input later, resets the connection. The reset discards what the other side has not
//! received yet, which may be the end of an answer.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Longest time to wait for the other side to close the connection.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Size of the buffer for input that is discarded.
const DISCARD_BYTES: usize = 4_096;

/// Ends the output of a connection, and discards its input until the other side closes it
/// or some time has passed.
pub async fn close(stream: &mut TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    // If the time has passed, the other side does not close the connection.
    let _ = timeout(LINGER_TIME, discard_input(stream)).await;
}

async fn discard_input(stream: &mut TcpStream) {
    let mut bytes = [0; DISCARD_BYTES];
    while stream.read(&mut bytes).await.is_ok_and(|length| length > 0) {}
}
