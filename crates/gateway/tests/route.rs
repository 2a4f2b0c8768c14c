//! Lookup of routes and accounts.

use std::time::Duration;

use hawthornpost_gateway::config::{Account, Config, Engine, Kind, Route, Service, Share};
use hawthornpost_gateway::route::Table;
use test_case::test_case;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "letters.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        priority: 1,
        split: vec![Share {
            service: "desk".to_owned(),
            weight: 1.0,
        }],
        max_attempts: 2,
        anonymous: false,
        resumable: false,
        gap: None,
    }
}

fn service(name: &str, engine: Option<Engine>) -> Service {
    Service {
        name: name.to_owned(),
        engine,
        max_connections: None,
        scaling: None,
    }
}

const ENGINE: Engine = Engine {
    slots: 8,
    memory_tokens: 1000,
    backups: true,
    stride: 8,
};

fn table() -> Table {
    Table::new(Config {
        version: 1,
        routes: vec![
            route("all", "/"),
            route("drafts", "/drafts/"),
            route("old", "/drafts/old/"),
        ],
        accounts: Some(vec![Account {
            name: "crews".to_owned(),
            keys: vec!["k1".to_owned(), "k2".to_owned()],
            priority: None,
        }]),
        services: vec![service("pool", Some(ENGINE)), service("desk", None)],
        ..Config::default()
    })
}

/// Guards against a shorter prefix that takes precedence over a longer one, and a prefix that matches part of a path
/// segment.
#[test_case("letters.example", "/drafts/old/1", Some("old"); "longest prefix")]
#[test_case("letters.example", "/drafts/1", Some("drafts"); "middle prefix")]
#[test_case("letters.example", "/draftsman", Some("all"); "part of a segment")]
#[test_case("LETTERS.example:8740", "/drafts/1", Some("drafts"); "upper case and port")]
#[test_case("other.example", "/drafts/1", None; "another host")]
fn the_longest_prefix_wins(host: &str, path: &str, expected: Option<&str>) {
    assert_eq!(
        table().find(host, path).map(|route| route.name.clone()).as_deref(),
        expected
    );
}

/// Guards against an account of which only one key is accepted.
#[test]
fn every_key_of_an_account_is_accepted() {
    let table = table();
    assert!(table.account("k1").is_some() && table.account("k2").is_some());
    assert!(table.account("k3").is_none());
}

/// Guards against a server that is assigned to a service that it does not belong to.
#[test]
fn the_only_engine_service_is_ambiguous_if_there_are_several() {
    assert_eq!(table().only_engine_service(), Some("pool"));
    let services = vec![service("pool", Some(ENGINE)), service("pool-2", Some(ENGINE))];
    let table = Table::new(Config {
        services,
        ..Config::default()
    });
    assert_eq!(table.only_engine_service(), None);
}
