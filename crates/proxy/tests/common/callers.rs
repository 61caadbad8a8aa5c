//! Callers with a standard client.

use tokio_postgres::{Client, SimpleQueryMessage};

use super::{Deployment, MAX_WAIT};

/// Runs a test, which ends in time.
pub fn run(test: impl Future<Output = ()>) {
    actix::System::new().block_on(async {
        tokio::time::timeout(MAX_WAIT * 2, test).await.expect("the test ends in time");
    });
}

/// Returns the SQLSTATE of an error.
pub fn code(error: &tokio_postgres::Error) -> String {
    error.code().map(|code| code.code().to_owned()).unwrap_or_default()
}

/// Returns the SQLSTATE with which a statement is refused.
pub async fn refusal_code(client: &Client, sql: &str) -> String {
    client.simple_query(sql).await.err().as_ref().map(code).unwrap_or_default()
}

/// Starts two daemons and creates a table.
pub async fn start_with_table() -> (Deployment, Client) {
    let deployment = Deployment::start(&["a", "b"]).await;
    let client = deployment.client(0, None).await;
    client.simple_query("CREATE TABLE t (id int, name text)").await.expect("the table is made");
    (deployment, client)
}

/// Runs one statement in the simple query protocol and returns the first column.
pub async fn values(client: &Client, sql: &str) -> Vec<String> {
    let messages = client.simple_query(sql).await.expect("the statement runs");
    let rows = messages.into_iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    rows.collect()
}
