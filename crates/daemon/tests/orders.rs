//! Orders with daemon processes. Guards against orders without a lease, with an outdated fencing number, or concurrent
//! with orders of an earlier lease holder.

mod support;

use std::time::Duration;

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use support::{Daemon, MODEL, Network, OPERATOR_KEY};

async fn order(daemon: &Daemon, target: &str, version: &str) -> (StatusCode, Value) {
    let body = json!({ "target": target, "kind": "load", "model": MODEL, "version": version });
    let request = support::request(Method::POST, "/v1/admin/orders", Some(OPERATOR_KEY), body.to_string());
    let (status, answer) = support::send(daemon.address, request).await.expect("an answer");
    (status, serde_json::from_slice(&answer).expect("JSON"))
}

#[test]
fn orders_of_two_lease_holders_have_increasing_fencing_numbers() {
    support::run(async {
        let network = Network::new();
        let mut document = support::document(network, 1, 2);
        document["inventory"]["engine-1"]["role"]["fencing"] = json!("ignored");
        let platform = support::platform(network, &document);
        let checked = support::engine(network, 0, "v1", 5, Duration::ZERO);
        let ignoring = support::engine(network, 1, "v1", 5, Duration::ZERO);
        let daemons = [0, 1].map(|index| Daemon::start(network, index, 2, ""));
        for daemon in &daemons {
            daemon.ready().await;
            for target in ["engine-0", "engine-1"] {
                let (status, answer) = order(daemon, target, "v2").await;
                assert_eq!(
                    (status, &answer["executed"]),
                    (StatusCode::OK, &json!(true)),
                    "{answer}"
                );
            }
        }
        for engine in [checked, ignoring] {
            let orders = engine.inspect("orders").expect("orders");
            let numbers = orders
                .as_array()
                .expect("a list")
                .iter()
                .map(|order| order["fencing"].as_u64());
            let numbers = numbers.collect::<Vec<_>>();
            assert!(
                numbers.len() == 2 && numbers.is_sorted_by(|left, right| left < right),
                "{orders}"
            );
        }
        let writes = platform.stats()["calls"]["update leases"].as_u64();
        assert!(
            writes.is_some_and(|writes| writes >= 3),
            "the lease is acquired and released: {writes:?}"
        );
        let (status, _) = order(&daemons[0], "booking-0", "v2").await;
        assert_eq!(status, StatusCode::NOT_FOUND);
    });
}
