//! A caller that sends and reads single protocol messages.

use bytes::BytesMut;
use pgwire::messages::{
    Message,
    extendedquery::{Bind, Execute, Parse},
    startup::Startup,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::Deployment;

/// A caller that sends and reads single protocol messages.
pub struct RawClient {
    pub socket: TcpStream,
    pub input: BytesMut,
    pub last: BytesMut,
    pub key: Option<(i32, i32)>,
}

impl RawClient {
    /// Opens a connection and sends nothing.
    pub async fn open(deployment: &Deployment, daemon: usize) -> Self {
        let address = deployment.daemons[daemon].callers;
        let socket = TcpStream::connect(address).await.expect("the daemon listens");
        RawClient { socket, input: BytesMut::new(), last: BytesMut::new(), key: None }
    }

    /// Connects on the route that is open to all callers and needs no key.
    pub async fn connect(deployment: &Deployment, daemon: usize) -> Self {
        let mut raw = RawClient::open(deployment, daemon).await;
        let mut startup = Startup::new();
        startup.parameters.insert("user".to_owned(), "anybody".to_owned());
        startup.parameters.insert("database".to_owned(), "open".to_owned());
        raw.send(&[&startup]).await;
        assert!(raw.read_until_ready().await.ends_with('Z'));
        raw
    }

    /// Sends messages in one write.
    pub async fn send(&mut self, messages: &[&dyn Encoded]) {
        let mut bytes = BytesMut::new();
        messages.iter().for_each(|message| message.put(&mut bytes));
        self.socket.write_all(&bytes).await.expect("the daemon reads");
    }

    /// Reads one message and returns its tag, or `None` at the end of the connection.
    pub async fn next(&mut self) -> Option<char> {
        loop {
            if let Some(header) = self.input.first_chunk::<5>() {
                let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
                let length = length as usize + 1;
                if self.input.len() >= length {
                    self.last = self.input.split_to(length);
                    self.record_key();
                    return Some(char::from(self.last[0]));
                }
            }
            if self.socket.read_buf(&mut self.input).await.ok()? == 0 {
                return None;
            }
        }
    }

    fn record_key(&mut self) {
        if let [b'K', _, _, _, _, p0, p1, p2, p3, s0, s1, s2, s3] = self.last[..] {
            let process = i32::from_be_bytes([p0, p1, p2, p3]);
            self.key = Some((process, i32::from_be_bytes([s0, s1, s2, s3])));
        }
    }

    /// Reads messages up to `ReadyForQuery` or the end of the connection, and returns
    /// their tags without those of `ParameterStatus`.
    pub async fn read_until_ready(&mut self) -> String {
        let mut tags = String::new();
        while let Some(tag) = self.next().await {
            if tag != 'S' {
                tags.push(tag);
            }
            if tag == 'Z' {
                break;
            }
        }
        tags
    }

    /// Reads so many messages and returns their tags.
    pub async fn read_tags(&mut self, count: usize) -> String {
        let mut tags = String::new();
        while tags.len() < count {
            tags.push(self.next().await.expect("the connection stays open"));
        }
        tags
    }
}

/// A message in its encoded form.
pub trait Encoded {
    /// Appends the message to `bytes`.
    fn put(&self, bytes: &mut BytesMut);
}

impl<T: Message> Encoded for T {
    fn put(&self, bytes: &mut BytesMut) {
        self.encode(bytes).expect("the message is small");
    }
}

/// Returns a `Parse` of the statement `name`.
pub fn parse(name: &str, sql: &str) -> Parse {
    Parse::new(Some(name.to_owned()).filter(|n| !n.is_empty()), sql.to_owned(), Vec::new())
}

/// Returns a `Bind` without parameters.
pub fn bind(statement: &str) -> Bind {
    Bind::new(None, Some(statement.to_owned()), Vec::new(), Vec::new(), Vec::new())
}

/// Returns an `Execute` of all rows.
pub fn execute() -> Execute {
    Execute::new(None, 0)
}
