//! Statements of a caller on the whole path: from the entry through the home to a
//! backend server and back.

mod common;

use common::{
    CLINIC_KEY, Deployment,
    callers::{run, values},
};

#[test]
fn a_session_reads_its_own_write_through_another_vm() {
    run(async {
        let deployment = Deployment::start(&["a", "b"]).await;
        let writer = deployment.client(0, None).await;
        writer.simple_query("CREATE TABLE t (id int)").await.expect("the table is made");
        writer.execute("INSERT INTO t (id) VALUES (1)", &[]).await.expect("the row is written");
        assert_eq!(values(&writer, "SELECT count(*) FROM t").await, ["1"]);
        let token = values(&writer, "SHOW chicoryhollow.session").await;
        let reader = deployment.client(1, token.first().map(String::as_str)).await;
        assert_eq!(values(&reader, "SELECT count(*) FROM t").await, ["1"]);
        let unknown = deployment.client(1, None).await;
        assert_eq!(values(&unknown, "SELECT count(*) FROM t").await, ["1"]);
    });
}

#[test]
fn a_key_gives_access_only_to_its_own_routes() {
    run(async {
        let deployment = Deployment::start(&["a"]).await;
        let code = |error: tokio_postgres::Error| error.code().map(|c| c.code().to_owned());
        let cases = [
            ("press-key", "wrong", "orders", "28P01"),
            ("nobody", "wrong", "orders", "28P01"),
            ("clinic-key", CLINIC_KEY, "orders", "42501"),
            ("press-key", common::PRESS_KEY, "elsewhere", "3D000"),
        ];
        for (user, key, route, expected) in cases {
            let refused = deployment.connect(0, user, key, route, None).await;
            let found = refused.err().and_then(code);
            assert_eq!(found.as_deref(), Some(expected), "{user} on {route}");
        }
    });
}
