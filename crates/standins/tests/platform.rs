//! Tests the conditional writes, watches and faults of the stand-in platform.

mod common;

use common::{LOOPBACK, Lines, run, send, send_json};
use hawthornpost_standins::Handle;
use hawthornpost_standins::platform::{self, Settings};
use serde_json::{Value, json};

const LEASES: &str = "/apis/hawthornpost.dev/v1/leases";

fn start_platform() -> Handle {
    let host = json!({ "plural": "hosts", "metadata": { "name": "h1" }, "spec": { "state": "live" } });
    let settings = Settings {
        objects: vec![host],
        ..Settings::default()
    };
    platform::start(LOOPBACK, settings).unwrap()
}

fn lease(version: Option<&str>) -> Value {
    json!({ "metadata": { "name": "orders", "resourceVersion": version }, "spec": {} })
}

#[test]
fn writes_are_conditional() {
    run(async {
        let platform = start_platform();
        let one = format!("{LEASES}/orders");
        for (method, path, body, expected) in [
            ("POST", LEASES, lease(None), 201),
            ("POST", LEASES, lease(None), 409),
            ("PUT", &one, lease(Some("1")), 409),
            ("PUT", &one, lease(None), 422),
            ("PUT", &one, lease(Some("2")), 200),
            ("GET", &one, Value::Null, 200),
            ("DELETE", &one, Value::Null, 200),
            ("GET", &one, Value::Null, 404),
        ] {
            let (status, response) = send_json(platform.address(), method, path, &body).await.unwrap();
            assert_eq!(status, expected, "{method} {path}: {response}");
        }
    });
}

#[test]
fn a_lost_response_takes_effect_and_a_late_one_takes_effect_later() {
    run(async {
        let platform = start_platform();
        platform
            .set_faults(&json!({ "lose": { "share": 1.0, "count": 1, "method": "POST" } }))
            .unwrap();
        send_json(platform.address(), "POST", LEASES, &lease(None))
            .await
            .unwrap_err();
        let late = json!({ "late": { "share": 1.0, "count": 1 }, "late_ms": 50 });
        platform.set_faults(&late).unwrap();
        let one = format!("{LEASES}/orders");
        send_json(platform.address(), "PUT", &one, &lease(Some("2")))
            .await
            .unwrap_err();
        let read = async || {
            send_json(platform.address(), "GET", &one, &Value::Null)
                .await
                .unwrap()
                .1
        };
        assert_eq!(read().await["metadata"]["resourceVersion"], "2");
        while read().await["metadata"]["resourceVersion"] != "3" {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    });
}

#[test]
fn a_watch_sends_changes_and_bookmarks_and_ends_at_a_restore() {
    run(async {
        let platform = start_platform();
        platform.set_faults(&json!({ "snapshot": true })).unwrap();
        let path = format!("{LEASES}?watch=1&resourceVersion=1");
        let mut lines = Lines::new(
            send(platform.address(), "GET", &path, &[], String::new())
                .await
                .unwrap(),
        );
        send_json(platform.address(), "POST", LEASES, &lease(None))
            .await
            .unwrap();
        for expected in ["ADDED", "BOOKMARK"] {
            let event: Value = serde_json::from_str(&lines.next().await.unwrap()).unwrap();
            assert_eq!(event["type"], expected);
            assert_eq!(event["object"]["metadata"]["resourceVersion"], "2");
        }
        platform.set_faults(&json!({ "restore": true })).unwrap();
        while lines.next().await.is_some() {}
        let (status, _) = send_json(platform.address(), "GET", &format!("{LEASES}/orders"), &Value::Null)
            .await
            .unwrap();
        assert_eq!(status, 404, "the snapshot does not contain the lease");
        let newer = format!("{LEASES}?watch=1&resourceVersion=2");
        assert_eq!(
            send_json(platform.address(), "GET", &newer, &Value::Null)
                .await
                .unwrap()
                .0,
            410
        );
    });
}

#[test]
fn an_outage_closes_connections_until_it_is_cleared() {
    run(async {
        let platform = start_platform();
        let address = platform.address();
        for (outage, expected) in [(true, false), (false, true)] {
            let faults = json!({ "outage": outage });
            assert_eq!(
                send_json(address, "POST", "/standin/faults", &faults).await.unwrap().0,
                200
            );
            assert_eq!(send_json(address, "GET", LEASES, &Value::Null).await.is_ok(), expected);
        }
    });
}
