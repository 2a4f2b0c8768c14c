//! Tests the counters that tests of actions use to see how often an action ran.

mod common;

use common::{LOOPBACK, run, send, send_json};
use hawthornpost_standins::service::{self, Settings};
use serde_json::{Value, json};

const CLAIM: &str = "00000000-0000-4000-8000-00000000000c";

#[test]
fn every_run_of_an_action_is_counted_even_without_a_response() {
    run(async {
        let settings = Settings {
            status_lookup: true,
            ..Settings::new("bookings")
        };
        let service = service::start(LOOPBACK, settings).unwrap();
        let headers = [
            ("idempotency-key", "k"),
            ("hawthornpost-claim", CLAIM),
            ("hawthornpost-request", "r"),
        ];
        let act = async || send(service.address(), "POST", "/book", &headers, "plot 4".to_owned()).await;
        let status = async || {
            let path = format!("/actions/{CLAIM}");
            send_json(service.address(), "GET", &path, &Value::Null)
                .await
                .unwrap()
                .1["state"]
                .clone()
        };
        assert_eq!(status().await, "never");
        service
            .set_faults(&json!({ "fail": { "share": 1.0, "count": 1, "path": "/book" } }))
            .unwrap();
        assert_eq!(act().await.unwrap().status(), 500);
        assert_eq!(status().await, "never");
        service
            .set_faults(&json!({ "lose": { "share": 1.0, "count": 1 , "path": "/book"} }))
            .unwrap();
        act().await.unwrap_err();
        assert_eq!(status().await, "done");
        assert_eq!(act().await.unwrap().headers()["hawthornpost-request"], "r");
        assert_eq!(service.inspect("actions").unwrap()[0]["runs"], 2);
    });
}

/// The daemon must detect a response to another request by its id, so a crossed response has to carry that id.
#[test]
fn a_crossed_response_has_the_id_of_another_request() {
    run(async {
        let service = service::start(LOOPBACK, Settings::new("status")).unwrap();
        let request_id = async |id: &str| {
            let headers = [("hawthornpost-request", id)];
            let response = send(service.address(), "GET", "/plot/4", &headers, String::new())
                .await
                .unwrap();
            response.headers()["hawthornpost-request"].clone()
        };
        service.set_faults(&json!({ "cross": { "share": 1.0 } })).unwrap();
        assert_eq!(request_id("a").await, "a");
        assert_eq!(request_id("b").await, "a");
    });
}
