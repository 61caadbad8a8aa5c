//! Operators, as processes, that publish at the same time on a platform that loses
//! answers.

mod common;

use std::{
    net::TcpListener,
    process::{Child, Command, Stdio},
    time::Duration,
};

use chicoryhollow_ctl::request;
use chicoryhollow_store::HttpPlatform;
use chicoryhollow_testkit::platform::{Fault, serve};
use common::{Directory, data_centres};

const TIMEOUT: Duration = Duration::from_secs(60);
const ROUNDS: u64 = 6;
const OPERATORS: usize = 3;

fn apply(base: &str, directory: &Directory, version: u64) -> Child {
    Command::new(env!("CARGO_BIN_EXE_chicoryctl"))
        .args(["apply", "--platform", base, "--timeout", "60", "--base", &version.to_string()])
        .arg(directory.path())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program runs")
}

async fn exit_code(mut child: Child) -> Option<i32> {
    let waited = actix_web::rt::task::spawn_blocking(move || child.wait());
    waited.await.expect("a waiting thread").expect("an exit status").code()
}

#[actix_web::test]
async fn exactly_one_operator_publishes_and_the_others_report_a_conflict() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let base = format!("http://{}", listener.local_addr().expect("a bound listener"));
    actix_web::rt::spawn(serve(listener).expect("a platform"));
    let fault = Fault { lose_answers: 0.3, ..Fault::default() };
    let url = format!("{base}/control/fault");
    let answer = awc::Client::default().put(url).send_json(&fault).await.expect("an answer");
    assert!(answer.status().is_success());
    let platform = HttpPlatform::new(base.clone(), Duration::from_secs(5));
    for round in 0..ROUNDS {
        let name = |operator: usize| format!("r{round}-o{operator}");
        let directories: Vec<_> = (0..OPERATORS)
            .map(|operator| Directory::new(&data_centres(&[&name(operator)])))
            .collect();
        let children: Vec<_> =
            directories.iter().map(|directory| apply(&base, directory, round)).collect();
        let mut codes = Vec::new();
        for child in children {
            codes.push(exit_code(child).await.expect("an exit code"));
        }
        let winners: Vec<_> = (0..OPERATORS).filter(|operator| codes[*operator] == 0).collect();
        assert_eq!(winners.len(), 1, "exit codes {codes:?} in round {round}");
        assert!(codes.iter().all(|code| matches!(code, 0 | 4)), "exit codes {codes:?}");
        let row =
            request::current_version(&platform, TIMEOUT).await.expect("an answer").expect("a row");
        assert_eq!(row.version, round + 1);
        let held = request::read_configuration(&platform, row.value.hash, TIMEOUT).await;
        let held = held.expect("the winner's configuration");
        assert!(held.data_centres.contains_key(name(winners[0]).as_str()), "round {round}");
    }
}
