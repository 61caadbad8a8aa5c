//! The commands on a platform that loses requests and answers.

mod common;

use std::time::Duration;

use actix_web::{App, HttpResponse, HttpServer, web};
use chicoryhollow_config::publish::ROW_KEY;
use chicoryhollow_ctl::{
    args::Apply,
    commands::{apply, diff, status},
    output::{Code, CommandOutput, Failure},
};
use chicoryhollow_store::{Vm, VmState};
use common::{Directory, MemoryPlatform, WriteOutcome, data_centres};

const TIMEOUT: Duration = Duration::from_secs(10);

async fn run(
    platform: &MemoryPlatform,
    directory: &Directory,
    base: Option<u64>,
) -> Result<CommandOutput, Failure> {
    let apply = Apply { directory: directory.path().to_owned(), base, wait: None };
    apply::run(platform, &apply, TIMEOUT).await
}

#[actix_web::test]
async fn a_version_is_published_once_despite_lost_requests_and_answers() {
    use WriteOutcome::{AnswerLost, RequestLost};
    for outcomes in
        [&[][..], &[RequestLost], &[AnswerLost], &[RequestLost, RequestLost, AnswerLost]]
    {
        let platform = MemoryPlatform::with_outcomes(outcomes);
        let directory = Directory::new(&data_centres(&["a"]));
        let answer = run(&platform, &directory, None).await.expect("published");
        assert_eq!(answer.json["version"], 1, "{outcomes:?}");
        assert_eq!(platform.version(ROW_KEY), 1, "{outcomes:?}");
    }
}

#[actix_web::test]
async fn a_second_version_stores_the_difference_too() {
    let platform = MemoryPlatform::default();
    let directory = Directory::new(&data_centres(&["a"]));
    run(&platform, &directory, None).await.expect("published");
    directory.write(&data_centres(&["a", "b"]));
    let answer = run(&platform, &directory, None).await.expect("published");
    assert_eq!(answer.text, "+ data_centres.b\npublished as version 2");
    let names = platform.object_names();
    assert_eq!(names.iter().filter(|name| name.starts_with("configuration-")).count(), 2);
    assert_eq!(names.iter().filter(|name| name.starts_with("delta-")).count(), 1);
    let again = run(&platform, &directory, None).await.expect("nothing to do");
    assert_eq!(again.text, "no difference: version 2 already has this content");
    assert_eq!(platform.version(ROW_KEY), 2);
}

#[actix_web::test]
async fn old_files_are_refused_with_the_changes_since() {
    let platform = MemoryPlatform::default();
    let (one, two) = (Directory::new(&data_centres(&["a"])), Directory::new(&data_centres(&["a"])));
    run(&platform, &one, None).await.expect("published");
    run(&platform, &two, None).await.expect("the same content");
    one.write(&data_centres(&["a", "b"]));
    run(&platform, &one, None).await.expect("published");
    two.write(&data_centres(&["a", "c"]));
    for base in [None, Some(1)] {
        let failure = run(&platform, &two, base).await.expect_err("files of version 1");
        assert_eq!(failure.code, Code::Conflict);
        assert!(failure.message.contains("changed since version 1:\n+ data_centres.b"));
    }
    assert_eq!(platform.version(ROW_KEY), 2);
    two.write(&data_centres(&["a", "b", "c"]));
    let answer = run(&platform, &two, Some(2)).await.expect("published on the newest version");
    assert_eq!(answer.json["version"], 3);
}

#[actix_web::test]
async fn a_repeated_apply_resolves_an_unknown_outcome() {
    let platform = MemoryPlatform::default();
    let directory = Directory::new(&data_centres(&["a"]));
    run(&platform, &directory, None).await.expect("published");
    directory.write(&data_centres(&["a", "b"]));
    platform.lose_next_answer_and_go_down();
    let apply = Apply { directory: directory.path().to_owned(), base: None, wait: None };
    let failure = apply::run(&platform, &apply, Duration::from_millis(300)).await;
    let failure = failure.expect_err("no answer");
    assert_eq!(failure.code, Code::Unavailable);
    assert!(failure.message.contains("outcome unknown"), "{}", failure.message);
    platform.set_down(false);
    for base in [None, Some(1)] {
        let answer = run(&platform, &directory, base).await.expect("it was published");
        assert_eq!(answer.text, "no difference: version 2 already has this content");
    }
}

#[actix_web::test]
async fn nothing_is_published_if_a_file_is_invalid() {
    let platform = MemoryPlatform::default();
    let directory = Directory::new("{ \"data_centres\": { \"A\": {}, \"b\": 7 } }");
    let failure = run(&platform, &directory, None).await.expect_err("a wrong file");
    assert_eq!(failure.code, Code::Refused);
    assert_eq!(failure.message.lines().count(), 2);
    assert_eq!(platform.version(ROW_KEY), 0);
    assert!(platform.object_names().is_empty());
}

#[actix_web::test]
async fn a_forbidden_change_is_refused_with_a_remedy() {
    let servers = |names: &[&str]| {
        let server = |name: &&str| {
            format!(
                "\"{name}\": {{ \"address\": \"10.0.0.1:{}\", \"data_centre\": \"a\", \
                 \"slots\": 1, \"connections\": 1 }}",
                name.len()
            )
        };
        let servers: Vec<_> = names.iter().map(server).collect();
        format!(
            "{{ \"data_centres\": {{ \"a\": {{}} }}, \"groups\": {{ \"g\": {{ \"servers\": {{ {} }} }} }} }}",
            servers.join(", ")
        )
    };
    let platform = MemoryPlatform::default();
    let directory = Directory::new(&servers(&["s", "ss", "sss"]));
    run(&platform, &directory, None).await.expect("published");
    directory.write(&servers(&["s", "ssss", "sssss"]));
    let failure = run(&platform, &directory, None).await.expect_err("two servers replaced");
    assert_eq!(failure.code, Code::Refused);
    assert!(failure.message.contains("2 servers join and 2 leave at once; add or remove one"));
    let shown = diff::run(&platform, directory.path(), TIMEOUT).await.expect("a difference");
    assert!(shown.text.contains("refused: groups.g.servers"));
    assert_eq!(platform.version(ROW_KEY), 1);
}

#[actix_web::test]
async fn an_unreachable_platform_is_not_reported_as_a_conflict() {
    let platform = MemoryPlatform::default();
    platform.set_down(true);
    let directory = Directory::new(&data_centres(&["a"]));
    let apply = Apply { directory: directory.path().to_owned(), base: None, wait: None };
    let failure = apply::run(&platform, &apply, Duration::ZERO).await.expect_err("no answer");
    assert_eq!(failure.code, Code::Unavailable);
}

#[actix_web::test]
async fn a_group_may_change_only_after_its_last_change_is_in_force_on_all_vms() {
    let server = |number: u16| {
        format!(
            "\"s{number}\": {{ \"address\": \"10.0.0.1:{number}\", \"data_centre\": \"a\", \
             \"slots\": 1, \"connections\": 1 }}"
        )
    };
    let files = |count: u16| {
        let servers: Vec<_> = (1..=count).map(server).collect();
        format!(
            "{{ \"data_centres\": {{ \"a\": {{}} }}, \"groups\": {{ \"g\": {{ \"servers\": {{ {} }} }} }} }}",
            servers.join(", ")
        )
    };
    let unreachable = "127.0.0.1:1".parse().expect("an address");
    let cases = [
        ("in force", serve_status(1), VmState::Live, None),
        ("behind", serve_status(0), VmState::Live, Some(Code::Refused)),
        ("leaving and behind", serve_status(0), VmState::Leaving, Some(Code::Refused)),
        ("no answer", unreachable, VmState::Live, Some(Code::Refused)),
        ("gone", unreachable, VmState::Leaving, None),
    ];
    for (case, admin, state, expected) in cases {
        let platform = MemoryPlatform::with_vms(vec![vm("vm-1", admin, state)]);
        let directory = Directory::new(&files(3));
        run(&platform, &directory, None).await.expect("published");
        directory.write(&files(4));
        let result = run(&platform, &directory, None).await;
        assert_eq!(result.err().map(|failure| failure.code), expected, "{case}");
    }
}

#[actix_web::test]
async fn the_status_is_available_from_one_vm_while_the_platform_is_down() {
    let other = serve_status(7);
    let list = vec![vm("vm-1", other, VmState::Live), vm("vm-2", other, VmState::Leaving)];
    let answer = move || {
        let list = list.clone();
        async { HttpResponse::Ok().json(list) }
    };
    let server = HttpServer::new(move || App::new().route("/vms", web::get().to(answer.clone())));
    let server = server.workers(1).bind("127.0.0.1:0").expect("a free port");
    let admin = server.addrs()[0];
    actix_web::rt::spawn(server.run());
    let shown = status::run_via(admin).await.expect("a status");
    let expected = "version 7 is the newest on any VM, in force on 1 of 1 live VMs\n";
    assert!(shown.text.starts_with(expected), "{}", shown.text);
    let unreachable = "127.0.0.1:1".parse().expect("an address");
    let failure = status::run_via(unreachable).await.expect_err("no answer");
    assert_eq!(failure.code, Code::Unavailable);
}

/// Serves `/status` with a fixed version and returns the address.
fn serve_status(version: u64) -> std::net::SocketAddr {
    let body = format!("{{ \"vm\": \"x\", \"version\": {version}, \"more\": [] }}");
    let server = HttpServer::new(move || {
        let body = body.clone();
        let answer = move || {
            let body = body.clone();
            async { HttpResponse::Ok().content_type("application/json").body(body) }
        };
        App::new().route("/status", web::get().to(answer))
    });
    let server = server.workers(1).bind("127.0.0.1:0").expect("a free port");
    let address = server.addrs()[0];
    actix_web::rt::spawn(server.run());
    address
}

fn vm(name: &str, admin: std::net::SocketAddr, state: VmState) -> Vm {
    let data_centre = "a".parse().expect("a valid name");
    let vm = name.parse().expect("a valid name");
    Vm { vm, data_centre, peers: admin, admin, state }
}

#[actix_web::test]
async fn apply_reports_on_which_vms_the_version_is_in_force() {
    let unreachable = "127.0.0.1:1".parse().expect("an address");
    let (new, old) = (serve_status(1), serve_status(0));
    let platform = MemoryPlatform::with_vms(vec![
        vm("vm-1", new, VmState::Live),
        vm("vm-2", old, VmState::Leaving),
        vm("vm-3", unreachable, VmState::Leaving),
    ]);
    let directory = Directory::new(&data_centres(&["a"]));
    let wait = Some(Duration::from_millis(300));
    let apply = Apply { directory: directory.path().to_owned(), base: None, wait };
    let answer = apply::run(&platform, &apply, TIMEOUT).await.expect("published");
    assert_eq!((answer.code, &answer.json["reached"]), (Code::Done, &1.into()));

    let platform = MemoryPlatform::with_vms(vec![
        vm("vm-1", new, VmState::Live),
        vm("vm-2", old, VmState::Live),
        vm("vm-3", unreachable, VmState::Live),
    ]);
    let apply = Apply { base: Some(0), ..apply };
    let answer = apply::run(&platform, &apply, TIMEOUT).await.expect("published");
    assert_eq!(answer.code, Code::Pending);
    assert!(answer.text.contains("in force on 1 of 3 live VMs"), "{}", answer.text);
    let shown = status::run(&platform, TIMEOUT).await.expect("a status");
    assert!(shown.text.contains("vm-3                 live     no answer"), "{}", shown.text);
}
