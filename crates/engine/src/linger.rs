//! Closes connections so that the other side receives everything that was sent.
//!
//! A socket that is closed while it holds input that was not read, or that receives
//! input later, resets the connection. The reset discards what the other side has not
//! received yet, which may be the end of an answer. Input that arrives after the end is not
//! read either: nobody would answer it, and a caller may take what was not read as not run.

use std::time::Duration;

use tokio::{
    io::{AsyncWriteExt, Interest},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Longest time to wait for the other side to close the connection.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Time between two checks of whether it has, while there is input that is not read.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Ends the output of a connection, and waits until the other side closes it or some time has
/// passed.
pub async fn close(stream: &mut TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    // If the time has passed, the other side does not close the connection.
    let _ = timeout(LINGER_TIME, wait_for_end(stream)).await;
}

async fn wait_for_end(stream: &TcpStream) {
    while let Ok(ready) = stream.ready(Interest::READABLE).await {
        if ready.is_read_closed() {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
}
