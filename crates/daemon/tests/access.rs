//! Guards against an entry host that rejects the key of an account as unknown before it has a configuration.

mod support;

use hyper::{Method, StatusCode};
use support::{ACCOUNT_KEY, Daemon, Network, get, request, run, wait_for};

#[test]
fn a_caller_is_told_to_retry_before_the_first_configuration() {
    run(async {
        let network = Network::new();
        // Without a platform, the daemon does not get a configuration.
        let daemon = Daemon::start(network, 0, 1, "");
        wait_for("the daemon to listen", async || {
            get(daemon.address, "/healthz", None).await.is_ok()
        })
        .await;
        let call = request(Method::GET, "/v1/models", Some(ACCOUNT_KEY), "");
        let response = hawthornpost_daemon::client::send(daemon.address, call)
            .await
            .expect("a response");
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers().contains_key("retry-after"));
        let (status, _) = get(daemon.address, "/v1/models", None).await.expect("an answer");
        assert_eq!(status, StatusCode::UNAUTHORIZED);
    });
}
