//! End-to-end requests with a daemon process and a stand-in platform, engine and service.

mod support;

use std::time::Duration;

use bytes::Bytes;
use hawthornpost_standins::text;
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use serde_json::json;
use support::{ACCOUNT_KEY, Caller, Daemon, Network};

/// Guards against lost or repeated tokens, and against a stream without an end.
#[test]
fn streams_a_generation() {
    support::run(async {
        let network = Network::new();
        let _platform = support::platform(network, &support::document(network, 1, 1));
        let _engine = support::engine(network, 0, "v1", 200, Duration::from_millis(1));
        let daemon = Daemon::start(network, 0, 1, "");
        daemon.ready().await;
        let mut caller = Caller::start(daemon.address, ACCOUNT_KEY, "a long field log", 500).await;
        caller.read_all().await;
        assert!(caller.done, "{:?}", caller.error);
        text::verify("a long field log", &caller.text).expect("a whole answer");
        assert_eq!(daemon.admin("/v1/admin/status").await["config_version"], 1);
    });
}

/// Guards against an action that is not forwarded to the service, and a lookup that is refused.
#[test]
fn forwards_an_action_and_a_lookup() {
    support::run(async {
        let network = Network::new();
        let _platform = support::platform(network, &support::document(network, 1, 1));
        let service = support::booking(network, 0);
        let daemon = Daemon::start(network, 0, 1, "");
        daemon.ready().await;
        let path = "/v1/services/booking/plots/7";
        let mut action = support::request(Method::POST, path, Some(ACCOUNT_KEY), Bytes::from("{}"));
        action
            .headers_mut()
            .insert("idempotency-key", HeaderValue::from_static("booking-1"));
        let (status, body) = support::send(daemon.address, action).await.expect("an answer");
        assert!(status.is_success(), "{status} {}", String::from_utf8_lossy(&body));
        let (status, _) = support::get(daemon.address, path, Some(ACCOUNT_KEY))
            .await
            .expect("an answer");
        assert_eq!(status, StatusCode::OK);
        let actions = service.inspect("actions").expect("counters");
        assert_eq!(actions[0]["runs"], 1, "{actions}");
    });
}

/// Guards against a lookup that fails although another instance of the service can answer it.
#[test]
fn a_failed_lookup_is_retried_at_another_instance() {
    support::run(async {
        let network = Network::new();
        let mut document = support::document(network, 1, 1);
        let mut second = document["inventory"]["booking-0"].clone();
        second["address"] = json!(network.service(1));
        document["inventory"]["booking-1"] = second;
        let _platform = support::platform(network, &document);
        let failed = support::booking(network, 0);
        let service = support::booking(network, 1);
        let daemon = Daemon::start(network, 0, 1, "");
        daemon.ready().await;
        failed.set_faults(&json!({ "die": true })).expect("the fault is set");
        for number in 0..4 {
            let path = format!("/v1/services/booking/plots/{number}");
            let (status, body) = support::get(daemon.address, &path, Some(ACCOUNT_KEY))
                .await
                .expect("an answer");
            assert_eq!(status, StatusCode::OK, "{}", String::from_utf8_lossy(&body));
        }
        assert_eq!(service.stats()["lookups"], 4);
    });
}
