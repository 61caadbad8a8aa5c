//! Which callers may still be served after a change of the configuration.

use chicoryhollow_config::{
    Account, Burst, Configuration, DataCentre, Key, Rate, Route, Verifier, admission::Credentials,
    configuration::Service,
};
use chicoryhollow_core::Refusal;

fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    let account = Account {
        rate: Rate::new(1.0).expect("a rate"),
        burst: Burst::new(1.0).expect("a burst"),
        weight: 1,
    };
    for name in ["press", "guests"] {
        configuration.accounts.insert(name.parse().expect("a name"), account.clone());
    }
    let verifier = Verifier::new("secret", [1; 16], 1);
    let key = Key { account: "press".parse().expect("a name"), verifier };
    configuration.keys.insert("press-1".parse().expect("a name"), key);
    let route = |accounts: &[&str], open: Option<&str>| Route {
        group: "orders".parse().expect("a name"),
        accounts: accounts.iter().map(|name| name.parse().expect("a name")).collect(),
        open_account: open.map(|name| name.parse().expect("a name")),
        max_age_ms: None,
        idempotent: false,
    };
    configuration.routes.insert("orders".parse().expect("a name"), route(&["press"], None));
    configuration.routes.insert("public".parse().expect("a name"), route(&[], Some("guests")));
    configuration
}

fn caller(key: bool, route: &str) -> Credentials {
    let held = configuration().keys["press-1"].verifier.clone();
    Credentials {
        key: key.then(|| ("press-1".parse().expect("a name"), held)),
        account: if key { "press" } else { "guests" }.parse().expect("a name"),
        route: route.parse().expect("a name"),
    }
}

#[test]
fn only_changes_of_its_own_key_account_or_route_end_a_caller() {
    type Change = fn(&mut Configuration);
    let cases: &[(&str, bool, &str, Change, Option<Refusal>)] = &[
        ("nothing", true, "orders", |_| {}, None),
        ("key withdrawn", true, "orders", |c| c.keys.clear(), Some(Refusal::BadKey)),
        (
            "key replaced under its name",
            true,
            "orders",
            |c| c.keys[0].verifier = Verifier::new("other", [1; 16], 1),
            Some(Refusal::BadKey),
        ),
        (
            "key given to another account",
            true,
            "orders",
            |c| c.keys[0].account = "guests".parse().expect("a name"),
            Some(Refusal::BadKey),
        ),
        ("route retired", true, "orders", |c| c.routes.clear(), Some(Refusal::RouteUnknown)),
        (
            "account removed from the route",
            true,
            "orders",
            |c| c.routes[0].accounts.clear(),
            Some(Refusal::RouteDenied),
        ),
        ("another route retired", true, "orders", |c| drop(c.routes.pop()), None),
        ("keys withdrawn, open route", false, "public", |c| c.keys.clear(), None),
        (
            "open route closed",
            false,
            "public",
            |c| c.routes[1].open_account = None,
            Some(Refusal::RouteDenied),
        ),
        (
            "open route charged to another account",
            false,
            "public",
            |c| c.routes[1].open_account = Some("press".parse().expect("a name")),
            Some(Refusal::RouteDenied),
        ),
        ("key on an open route", true, "public", |_| {}, None),
    ];
    for (case, key, route, change, expected) in cases {
        let mut changed = configuration();
        change(&mut changed);
        let found = changed.check_admission(&caller(*key, route)).err();
        assert_eq!(found, *expected, "{case}");
    }
}

#[test]
fn only_configured_data_centres_in_service_accept_new_work() {
    let mut configuration = configuration();
    let name = "a".parse().expect("a name");
    assert!(!configuration.is_in_service(&name));
    configuration.data_centres.insert(name.clone(), DataCentre { service: Service::In });
    assert!(configuration.is_in_service(&name));
    configuration.data_centres[0].service = Service::Out;
    assert!(!configuration.is_in_service(&name));
}
