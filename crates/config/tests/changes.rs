//! Differences, content hashes and forbidden changes.

use chicoryhollow_config::{
    Configuration, ContentHash, DataCentre, Delta, Difference, Digests, Group, Server, Text,
    change::forbidden_changes, configuration::Service,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn server(number: u8, data_centre: &str) -> Server {
    Server {
        address: std::net::SocketAddr::from(([10, 0, 0, number], 5432)),
        data_centre: data_centre.parse().expect("a valid name"),
        slots: 3,
        connections: 20,
        service: Service::In,
    }
}

/// Creates a group of servers written `NAME@DATA_CENTRE`; the last digit of the
/// name determines the address.
fn group(servers: &[&str]) -> Configuration {
    let mut group = Group::default();
    for text in servers {
        let (name, data_centre) = text.split_once('@').expect("a server and its data centre");
        let number = name.as_bytes()[name.len() - 1] - b'0';
        group.servers.insert(name.parse().expect("a valid name"), server(number, data_centre));
    }
    let mut configuration = Configuration::default();
    configuration.groups.insert("orders".parse().expect("a valid name"), group);
    configuration
}

#[test]
fn a_change_of_more_than_one_server_per_group_is_forbidden() {
    let old = group(&["s1@a", "s2@b", "s3@c"]);
    let cases: &[(&[&str], &[&str])] = &[
        (&["s1@a", "s2@b", "s3@c"], &[]),
        (&["s1@a", "s2@b", "s3@c", "s4@a"], &[]),
        (&["s1@a", "s2@b"], &[]),
        (&["s1@a", "s2@b", "s4@c"], &["1 servers join and 1 leave at once"]),
        (&["s1@a"], &["0 servers join and 2 leave at once"]),
        (&["s1@a", "s2@b", "s3@c", "s4@a", "s5@b"], &["2 servers join and 0 leave at once"]),
        (
            &["s1@a", "s2@b", "s3@b"],
            &["groups.orders.servers.s3: the server moves from data centre c to b"],
        ),
    ];
    for (servers, expected) in cases {
        let found = forbidden_changes(&old, &group(servers));
        let lines: Vec<_> = found.iter().map(ToString::to_string).collect();
        assert_eq!(lines.len(), expected.len(), "{servers:?}: {lines:?}");
        assert!(lines.iter().zip(*expected).all(|(l, e)| l.contains(e)), "{lines:?}");
    }
}

#[test]
fn a_server_may_not_change_its_group_or_address() {
    let old = group(&["s1@a", "s2@b"]);
    let mut regrouped = group(&["s2@b"]);
    regrouped.groups.insert("quotes".parse().unwrap(), group(&["s1@a"]).groups["orders"].clone());
    assert_eq!(forbidden_changes(&old, &regrouped).len(), 1);
    let mut changed = old.clone();
    changed.groups[0].servers[0].address.set_port(1);
    assert!(forbidden_changes(&old, &changed)[0].message.contains("10.0.0.1:5432 to 10.0.0.1:1"));
}

#[test]
fn differences_list_each_changed_entry_and_field() {
    let mut old = group(&["s1@a", "s2@b"]);
    let mut new = group(&["s1@a"]);
    old.data_centres.insert("a".parse().unwrap(), DataCentre::default());
    new.data_centres.insert("a".parse().unwrap(), DataCentre { service: Service::Out });
    new.data_centres.insert("b".parse().unwrap(), DataCentre::default());
    let text = Difference::new(&old, &new).to_string();
    let expected = "~ data_centres.a\n    service: \"in\" -> \"out\"\n+ data_centres.b\n\
                    ~ groups.orders\n    servers.s2: {";
    assert!(text.starts_with(expected), "{text}");
    assert!(text.ends_with("} -> none"), "{text}");
    assert_eq!(Difference::new(&old, &old).to_string(), "no difference");
}

/// Creates a random configuration of data centres, each in or out of service.
fn random_configuration(rng: &mut StdRng) -> Configuration {
    let mut configuration = Configuration::default();
    for _ in 0..rng.random_range(0..6) {
        let name = format!("d{}", rng.random_range(0..8));
        let service = if rng.random_bool(0.5) { Service::In } else { Service::Out };
        configuration.data_centres.insert(name.parse().unwrap(), DataCentre { service });
    }
    configuration
}

#[test]
fn joined_differences_and_updated_hashes_match_the_new_configuration() {
    for seed in 0..2_000 {
        let rng = &mut StdRng::seed_from_u64(seed);
        let versions: Vec<_> = (0..4).map(|_| random_configuration(rng)).collect();
        let mut joined = Delta::default();
        let mut digests = Digests::new(&versions[0]);
        for pair in versions.windows(2) {
            let delta = Delta::new(&pair[0], &pair[1]);
            joined.join(&delta);
            digests.apply(&delta);
            assert_eq!(digests.hash(), ContentHash::new(&pair[1]), "seed {seed}");
        }
        let mut last = versions[0].clone();
        joined.apply(&mut last);
        assert_eq!(last, versions[3], "seed {seed}");
    }
}

#[test]
fn the_hash_depends_on_content_and_not_on_order() {
    let parse = |content: &str| Configuration::parse(&[Text::new("x", content)]).expect("valid");
    let one = parse(r#"{ "data_centres": { "a": {}, "b": { "service": "out" } } }"#);
    let mut other = Configuration::default();
    other.data_centres.insert("b".parse().unwrap(), DataCentre { service: Service::Out });
    other.data_centres.insert("a".parse().unwrap(), DataCentre::default());
    let hash = ContentHash::new(&one);
    assert_eq!(hash, ContentHash::new(&other));
    assert_eq!(hash.to_string().parse(), Ok(hash));
    other.data_centres[0].service = Service::In;
    assert_ne!(hash, ContentHash::new(&other));
}
