//! Deltas between versions of the configuration, and the history of deltas.

use std::time::Duration;

use hawthornpost_gateway::config::{Account, Config, Kind, Limits, Route, Service, Share};
use hawthornpost_gateway::config_delta::{Delta, Failure};
use hawthornpost_gateway::config_history::History;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;

fn route(name: String, timeout: u64, weight: f64) -> Route {
    Route {
        host: "letters.example".to_owned(),
        prefix: format!("/{name}/"),
        kind: Kind::Idempotent,
        timeout: Duration::from_millis(timeout),
        objective: Duration::from_millis(100),
        priority: 1,
        split: vec![Share {
            service: "desk".to_owned(),
            weight,
        }],
        max_attempts: 2,
        anonymous: false,
        resumable: false,
        gap: None,
        name,
    }
}

/// Few names and values, so that lists share elements, move them and repeat their names.
fn routes() -> impl Strategy<Value = Vec<Route>> {
    vec(("[a-e]", 0..3_u64, 0.0..1.0), 0..12).prop_map(|routes| {
        let routes = routes.into_iter();
        routes
            .map(|(name, timeout, weight)| route(name, timeout, weight))
            .collect()
    })
}

fn accounts() -> impl Strategy<Value = Option<Vec<Account>>> {
    let account = ("[a-c]", vec("[x-z]{1,2}", 0..3), option::of(0..3_u8));
    let account = account.prop_map(|(name, keys, priority)| Account { name, keys, priority });
    option::of(vec(account, 0..6))
}

fn config(version: u64) -> impl Strategy<Value = Config> {
    let services = vec("[s-u]", 0..4);
    (routes(), services, accounts(), 1..4_usize).prop_map(move |(routes, services, accounts, header_bytes)| Config {
        version,
        routes,
        services: services
            .into_iter()
            .map(|name| Service {
                name,
                engine: None,
                max_connections: None,
                scaling: None,
            })
            .collect(),
        accounts,
        limits: Limits {
            header_bytes,
            ..Limits::default()
        },
    })
}

/// Returns a rearrangement of the elements of a list with some of them removed or repeated.
fn rearranged(list: &[Route], picks: &[prop::sample::Index]) -> Vec<Route> {
    if list.is_empty() {
        return Vec::new();
    }
    picks.iter().map(|pick| pick.get(list).clone()).collect()
}

/// Returns what a receiver decodes.
fn transferred(delta: &Delta) -> Delta {
    let json = serde_json::to_string(delta).expect("JSON");
    serde_json::from_str(&json).expect("a delta")
}

proptest! {
    /// Guards against a delta that does not reproduce the new version.
    #[test]
    fn a_delta_reproduces_the_new_version(old in config(3), new in config(5)) {
        let delta = transferred(&Delta::between(&old, &new));
        prop_assert_eq!(delta.apply(&old), Ok(new));
    }

    /// Guards against a delta that loses the order or the number of routes with equal names.
    #[test]
    fn a_delta_reproduces_rearranged_routes(old in config(3), picks in vec(any::<prop::sample::Index>(), 0..12)) {
        let new = Config { version: 4, routes: rearranged(&old.routes, &picks), ..old.clone() };
        let delta = transferred(&Delta::between(&old, &new));
        prop_assert_eq!(delta.apply(&old), Ok(new));
    }

    /// Guards against a delta that is applied to another version, or to other contents of the same version.
    #[test]
    fn a_delta_is_not_applied_to_another_base(old in config(3), new in config(5), other in config(3)) {
        let delta = Delta::between(&old, &new);
        let renumbered = Config { version: 4, ..old.clone() };
        prop_assert_eq!(delta.apply(&renumbered), Err(Failure::Base { base: 3, known: 4 }));
        // Contents that differ only where the delta replaces them yield the new version all the same.
        if let Ok(result) = delta.apply(&other) {
            prop_assert_eq!(result, new);
        }
    }
}

fn many_routes(version: u64, timeout: u64) -> Config {
    let mut routes = (0..390)
        .map(|index| route(format!("route-{index}"), 100, 1.0))
        .collect::<Vec<_>>();
    routes[200].timeout = Duration::from_millis(timeout);
    Config {
        version,
        routes,
        ..Config::default()
    }
}

/// Guards against a delta whose size depends on the number of unchanged routes.
#[test]
fn a_delta_of_one_route_is_small() {
    let delta = Delta::between(&many_routes(1, 100), &many_routes(2, 200));
    let bytes = serde_json::to_vec(&delta).expect("JSON").len();
    assert!(bytes < 1024, "{bytes} bytes");
}

/// Guards against a history that omits a change between two versions.
#[test]
fn the_history_returns_the_changes_since_a_version() {
    let versions = (1..=4)
        .map(|version| many_routes(version, 100 + version))
        .collect::<Vec<_>>();
    let mut history = History::default();
    for pair in versions.windows(2) {
        history.push(&Delta::between(&pair[0], &pair[1]));
    }
    let deltas = history.since(2).expect("a known version");
    let deltas = serde_json::from_str::<Vec<Delta>>(&deltas).expect("deltas");
    let result = deltas
        .iter()
        .try_fold(versions[1].clone(), |config, delta| delta.apply(&config));
    assert_eq!(result.as_ref(), Ok(&versions[3]));
    assert_eq!((history.since(4), history.since(7)), (None, None));
    // A version that was not reached from the last one ends the earlier changes.
    history.push(&Delta::between(&many_routes(8, 100), &many_routes(9, 200)));
    assert_eq!(history.since(2), None);
    assert!(history.since(8).is_some());
}

/// Guards against a history that grows without bound, and against a response with changes that fills a link.
#[test]
fn the_history_is_bounded() {
    let mut history = History::default();
    for version in 1..1000 {
        history.push(&Delta::between(
            &many_routes(version, version),
            &many_routes(version + 1, version + 1),
        ));
    }
    assert_eq!(history.since(1), None);
    assert!(history.since(999).is_some());
    let longest = (1..1000)
        .find_map(|version| history.since(version))
        .expect("a known version");
    assert!(longest.len() <= 12_500, "{} bytes", longest.len());
    history.push(&Delta::between(
        &Config {
            version: 1000,
            ..Config::default()
        },
        &many_routes(1001, 1),
    ));
    assert_eq!(history.since(1000), None);
}
