//! Operators' files and settings files, valid and invalid.

use chicoryhollow_config::{
    Configuration, Settings, Text,
    schema::{configuration::CONFIGURATION, paths, settings::SETTINGS},
};

const SITES: &str = r#"{
  // Three instances, one in each data centre.
  "data_centres": { "a": {}, "b": { "service": "out" }, "c": {} },
  "groups": {
    "orders": {
      "servers": {
        "orders-1": { "address": "10.0.0.1:5432", "data_centre": "a", "slots": 3, "connections": 20 },
        "orders-2": { "address": "10.0.1.1:5432", "data_centre": "b", "slots": 3, "connections": 20 },
        "orders-3": { "address": "10.0.2.1:5432", "data_centre": "c", "slots": 3, "connections": 20 },
      },
    },
  },
}"#;

const ACCOUNTS: &str = r#"{
  "accounts": { "press-line": { "rate": 40.5, "burst": 20 } },
  "keys": {
    "press-line-1": {
      "account": "press-line",
      "verifier": "SCRAM-SHA-256$4096:AAAAAAAAAAAAAAAAAAAAAA==$AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
    }
  },
  "routes": { "orders": { "group": "orders", "accounts": ["press-line"] } }
}"#;

fn parse(files: &[(&str, &str)]) -> Result<Configuration, String> {
    let texts: Vec<_> = files.iter().map(|(name, content)| Text::new(*name, *content)).collect();
    Configuration::parse(&texts).map_err(|problems| problems.to_string())
}

fn settings(content: &str) -> Result<Settings, String> {
    Settings::parse(&Text::new("vm.jsonc", content)).map_err(|problems| problems.to_string())
}

#[test]
fn sections_of_several_files_are_merged_in_any_order() {
    let one = parse(&[("a.jsonc", SITES), ("b.jsonc", ACCOUNTS)]).expect("valid files");
    let other = parse(&[("b.jsonc", ACCOUNTS), ("a.jsonc", SITES)]).expect("valid files");
    let json = |c: &Configuration| serde_json::to_string(c).expect("a configuration is JSON");
    assert_eq!(json(&one), json(&other));
    assert_eq!(one.groups["orders"].servers.len(), 3);
    assert_eq!(one.accounts["press-line"].rate.per_second(), 40.5);
}

/// Invalid files with the exact error messages for them.
const INVALID_FILES: &[(&str, &str, &[&str])] = &[
    (
        "syntax",
        "{ \"accounts\": { ] }",
        &[
            "x.jsonc:1:17: syntax error: Unexpected token in object; write one JSON object; comments and trailing commas are allowed",
        ],
    ),
    (
        "no object",
        "[]",
        &[
            "x.jsonc:1:1: the file is not an object; write one JSON object; comments and trailing commas are allowed",
        ],
    ),
    (
        "empty",
        "// nothing\n",
        &[
            "x.jsonc:1:1: the file is empty; write one JSON object; comments and trailing commas are allowed",
        ],
    ),
    (
        "unknown fields, near and far",
        "{\n  \"acounts\": {},\n  \"zones\": {}\n}",
        &[
            "x.jsonc:2:3: acounts: unknown field; write \"accounts\", or remove the field",
            "x.jsonc:3:3: zones: unknown field; remove it; the fields here are data_centres, groups, accounts, keys, routes",
        ],
    ),
    (
        "rates, bursts and weights",
        r#"{ "accounts": {
  "a": { "rate": 0, "burst": 0.5, "weight": 0 },
  "b": { "rate": -1, "burst": "many" },
  "c": { "rate": 1e999, "burst": 1, "weight": 1.5 }
} }"#,
        &[
            "x.jsonc:2:18: accounts.a.rate: found number 0; write a number above 0",
            "x.jsonc:2:30: accounts.a.burst: found number 0.5; write a number of at least 1",
            "x.jsonc:2:45: accounts.a.weight: found number 0; write a whole number from 1 to 1000000",
            "x.jsonc:3:18: accounts.b.rate: found number -1; write a number above 0",
            "x.jsonc:3:31: accounts.b.burst: found text \"many\"; write a number of at least 1",
            "x.jsonc:4:18: accounts.c.rate: found number 1e999; write a number above 0",
            "x.jsonc:4:47: accounts.c.weight: found number 1.5; write a whole number from 1 to 1000000",
        ],
    ),
    (
        "missing fields",
        r#"{ "accounts": { "a": {} } }"#,
        &[
            "x.jsonc:1:17: accounts.a.burst: required field is missing; write a number of at least 1",
            "x.jsonc:1:17: accounts.a.rate: required field is missing; write a number above 0",
        ],
    ),
    (
        "names",
        r#"{ "data_centres": { "North": {}, "a": {}, "a": {} }, "data_centres": {} }"#,
        &[
            "x.jsonc:1:21: data_centres.North: a name may hold only a-z, 0-9, '-' and '_', not 'N'; rename it",
            "x.jsonc:1:43: data_centres.a: data centre \"a\" is already defined at x.jsonc:1:34; remove or rename one of the two",
            "x.jsonc:1:54: data_centres: duplicate field; remove one of the two",
        ],
    ),
    (
        "servers",
        r#"{ "data_centres": { "a": { "service": "off" } }, "groups": {
  "g": { "servers": {} },
  "h": { "servers": {
    "s": { "address": "db.example:5432", "data_centre": "a", "slots": 0, "connections": 1 },
    "t": { "address": "10.0.0.1:5432", "data_centre": "aa", "slots": 1, "connections": 1 },
    "u": { "address": "10.0.0.1:5432", "data_centre": "elsewhere", "slots": 1, "connections": 0 } } },
  "i": { "servers": {
    "s": { "address": "10.0.0.2:5432", "data_centre": "a", "slots": 1, "connections": 1 } } } } }"#,
        &[
            "x.jsonc:1:39: data_centres.a.service: \"off\" is not allowed here; write one of in, out",
            "x.jsonc:2:21: groups.g.servers: no backend server is defined; define at least one backend server, or remove the section",
            "x.jsonc:4:23: groups.h.servers.s.address: \"db.example:5432\" is not an IP address with a port; write an IP address with a port, such as \"10.0.0.1:5432\"",
            "x.jsonc:4:71: groups.h.servers.s.slots: found number 0; write a whole number from 1 to 1000000",
            "x.jsonc:5:55: groups.h.servers.t.data_centre: no data centre is named \"aa\"; define it under `data_centres` or write \"a\"",
            "x.jsonc:6:23: groups.h.servers.u.address: address 10.0.0.1:5432 is already used by groups.h.servers.t.address at x.jsonc:5:23; give each its own address",
            "x.jsonc:6:55: groups.h.servers.u.data_centre: no data centre is named \"elsewhere\"; define it under `data_centres`",
            "x.jsonc:6:95: groups.h.servers.u.connections: found number 0; write a whole number from 1 to 1000000",
            "x.jsonc:8:5: groups.i.servers.s: backend server \"s\" is already defined at x.jsonc:4:5; remove or rename one of the two",
        ],
    ),
    (
        "keys and routes",
        r#"{ "accounts": { "a": { "rate": 1, "burst": 1 } },
  "keys": { "k": { "account": "b", "verifier": "secret" }, "l": [] },
  "routes": {
    "closed": { "group": "g" },
    "nobody": { "group": "g", "accounts": [] },
    "twice": { "group": "g", "accounts": ["a", "a", 7] },
    "odd": { "group": null, "open_account": "a", "max_age_ms": 0, "idempotent": "yes" } } }"#,
        &[
            "x.jsonc:2:31: keys.k.account: no client account is named \"b\"; define it under `accounts` or write \"a\"",
            "x.jsonc:2:48: keys.k.verifier: not a key verifier; run `chicoryctl key new` and copy what it prints",
            "x.jsonc:2:65: keys.l: expected an object, found a list; write the fields of the key in braces",
            "x.jsonc:4:5: routes.closed: no caller may use this route; give `accounts` or `open_account`, or remove it",
            "x.jsonc:4:26: routes.closed.group: no database group is named \"g\"; define it under `groups`",
            "x.jsonc:5:5: routes.nobody: no caller may use this route; give `accounts` or `open_account`, or remove it",
            "x.jsonc:5:26: routes.nobody.group: no database group is named \"g\"; define it under `groups`",
            "x.jsonc:6:25: routes.twice.group: no database group is named \"g\"; define it under `groups`",
            "x.jsonc:6:48: routes.twice.accounts: text \"a\" is listed twice; remove one",
            "x.jsonc:6:53: routes.twice.accounts[2]: found number 7; write the name of a client account",
            "x.jsonc:7:23: routes.odd.group: found null; write the name of a database group",
            "x.jsonc:7:64: routes.odd.max_age_ms: found number 0; write a whole number from 1 to 86400000",
            "x.jsonc:7:81: routes.odd.idempotent: found text \"yes\"; write true or false",
        ],
    ),
];

#[test]
fn an_invalid_file_is_refused_with_all_of_its_problems() {
    for (case, content, expected) in INVALID_FILES {
        let found = parse(&[("x.jsonc", content)]).expect_err(case);
        assert_eq!(found.lines().collect::<Vec<_>>(), *expected, "{case}");
    }
}

#[test]
fn the_problems_of_all_files_are_reported_together() {
    let other = r#"{ "data_centres": { "a": {} }, "accounts": 7 }"#;
    let found = parse(&[("a.jsonc", SITES), ("b.jsonc", other), ("c.jsonc", "{")]).unwrap_err();
    let expected = [
        "b.jsonc:1:21: data_centres.a: data centre \"a\" is already defined at a.jsonc:3:21; remove or rename one of the two",
        "b.jsonc:1:44: accounts: found number 7; write an object of client accounts by name",
        "c.jsonc:1:1: syntax error: Unterminated object; write one JSON object; comments and trailing commas are allowed",
    ];
    assert_eq!(found.lines().collect::<Vec<_>>(), expected);
}

const SETTINGS_FILE: &str = r#"{
  "vm": "vm-1", "data_centre": "a", "platform": "http://10.0.0.9:80",
  "listen": { "callers": "10.0.0.1:5432", "peers": "10.0.0.1:7000", "admin": "10.0.0.1:8080" },
}"#;

#[test]
fn settings_have_defaults() {
    let settings = settings(SETTINGS_FILE).expect("valid settings");
    assert_eq!(settings.vm.as_str(), "vm-1");
    assert_eq!(settings.limits, chicoryhollow_config::settings::Limits::default());
}

#[test]
fn invalid_settings_are_refused_with_all_problems() {
    let invalid = r#"{ "vm": "VM", "platform": "platform.example", "translate": { "x": "10.0.0.1:1" },
  "listen": { "callers": "10.0.0.1:1", "peers": "10.0.0.1:1" },
  "log": { "level": "loud" }, "limits": { "drain": 5, "request_ms": 0 } }"#;
    let expected = [
        "vm.jsonc:1:1: data_centre: required field is missing; write a name of a-z, 0-9, '-' and '_'",
        "vm.jsonc:1:9: vm: a name may hold only a-z, 0-9, '-' and '_', not 'V'; write a name of a-z, 0-9, '-' and '_'",
        "vm.jsonc:1:27: platform: \"platform.example\" is not an HTTP address; write an HTTP address, such as \"http://10.0.0.1:80\"",
        "vm.jsonc:1:62: translate.x: \"x\" is not an IP address with a port; write an IP address with a port, such as \"10.0.0.1:5432\"",
        "vm.jsonc:2:3: listen.admin: required field is missing; write an IP address with a port, such as \"10.0.0.1:5432\"",
        "vm.jsonc:2:49: listen.peers: address 10.0.0.1:1 is already used by listen.callers at vm.jsonc:2:26; give each its own address",
        "vm.jsonc:3:21: log.level: \"loud\" is not allowed here; write one of error, warning, info, debug",
        "vm.jsonc:3:43: limits.drain: unknown field; remove it; the fields here are workers, callers, request_ms, drain_ms, message_bytes, memory_mb, buffer_bytes, cleartext_keys, stale_configuration_ms",
        "vm.jsonc:3:69: limits.request_ms: found number 0; write a whole number from 1 to 604800000",
    ];
    let found = settings(invalid).unwrap_err();
    assert_eq!(found.lines().collect::<Vec<_>>(), expected);
}

/// The schema and the types are defined separately; this checks that they match.
#[test]
fn the_schema_lists_exactly_the_fields_of_the_settings() {
    let mut settings = settings(SETTINGS_FILE).expect("valid settings");
    settings.backend.password = Some(String::new());
    let json = serde_json::to_value(settings).expect("settings are JSON");
    let mut fields = Vec::new();
    for (name, value) in json.as_object().expect("settings are an object") {
        match value.as_object().filter(|_| name != "translate") {
            Some(inner) => fields.extend(inner.keys().map(|key| format!("{name}.{key}"))),
            None => fields.push(name.clone()),
        }
    }
    let mut listed = paths(SETTINGS);
    listed.sort();
    fields.sort();
    assert_eq!(fields, listed);
}

#[test]
fn the_schema_lists_exactly_the_fields_of_the_configuration() {
    let mut configuration =
        parse(&[("a.jsonc", SITES), ("b.jsonc", ACCOUNTS)]).expect("valid files");
    configuration.routes[0].open_account = Some("press-line".parse().expect("a name"));
    configuration.routes[0].max_age_ms = Some(1);
    let json = serde_json::to_value(configuration).expect("a configuration is JSON");
    let named = ["data_centres", "groups", "servers", "accounts", "keys", "routes"];
    let mut fields = std::collections::BTreeSet::new();
    collect(&json, "", &named, &mut fields);
    assert_eq!(fields, paths(CONFIGURATION).into_iter().collect());
}

/// Collects the paths of all fields, with `*` in place of the names in a section.
fn collect(
    json: &serde_json::Value,
    path: &str,
    named: &[&str],
    fields: &mut std::collections::BTreeSet<String>,
) {
    let Some(object) = json.as_object() else {
        fields.insert(path.to_owned());
        return;
    };
    let section = path.rsplit('.').next().unwrap_or_default();
    // `accounts` is a section at the top level and a list in a route.
    let is_section = named.contains(&section) && !path.ends_with('*');
    for (name, value) in object {
        let step = if is_section { "*" } else { name };
        let inner = if path.is_empty() { step.to_owned() } else { format!("{path}.{step}") };
        collect(value, &inner, named, fields);
    }
}

#[test]
fn arbitrary_bytes_are_parsed_or_refused() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let content = String::from_utf8_lossy(bytes);
        let _ = parse(&[("x", &content)]);
        let _ = settings(&content);
    });
}

/// Damaged files cause no panic, and those that are accepted survive a round trip
/// through JSON.
#[test]
fn damaged_files_are_parsed_or_refused() {
    let damage = bolero::check!().with_type::<Vec<(u16, u8)>>();
    damage.for_each(|changes| {
        let mut bytes = ACCOUNTS.as_bytes().to_vec();
        for (at, byte) in changes {
            let at = usize::from(*at) % bytes.len();
            bytes[at] = *byte;
        }
        let content = String::from_utf8_lossy(&bytes);
        if let Ok(configuration) = parse(&[("a", SITES), ("b", &content)]) {
            let json = serde_json::to_vec(&configuration).expect("a configuration is JSON");
            let again: Configuration = serde_json::from_slice(&json).expect("its own JSON");
            assert_eq!(again, configuration);
        }
    });
}
