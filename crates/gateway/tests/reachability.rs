//! Judgement of targets that do not respond to probes.

use std::future::{pending, ready};
use std::time::Duration;

use hawthornpost_gateway::reachability::{Finding, judge};
use tokio::time::sleep;

/// Longer than a probe may take.
const SLOW: Duration = Duration::from_millis(80);

fn run(finding: impl Future<Output = Finding>) -> Finding {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
    runtime.expect("a runtime").block_on(finding)
}

/// Guards against an engine that is declared unreachable because of a full link of this host, whose probes of other
/// hosts get no response either.
#[test]
fn silence_of_all_hosts_is_not_held_against_a_target() {
    assert_eq!(run(judge(pending(), pending())), Finding::Inconclusive);
}

/// Guards against a response that is ignored because it took longer than usual.
#[test]
fn a_late_response_counts_while_other_hosts_have_not_responded() {
    let late = async { judge(sleep(SLOW), pending()).await };
    assert_eq!(run(late), Finding::Reachable);
}

/// Guards against a dead engine that keeps its streams.
#[test]
fn a_silent_target_is_unreachable_when_another_host_responds() {
    assert_eq!(run(judge(pending(), ready(()))), Finding::Unreachable);
    assert_eq!(run(judge(ready(()), pending())), Finding::Reachable);
}
