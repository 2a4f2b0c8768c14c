//! Whether a host hears from most hosts.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::duty::Isolation;
use test_case::test_case;

/// Guards against a host that is cut off and keeps the duties with outdated data, against one that gives them up for a
/// short pause, and against survivors of a large failure that never take them.
#[test_case(&[6, 6, 6, 6], false; "all hosts respond")]
#[test_case(&[6, 6, 3, 3], false; "half of the hosts respond")]
#[test_case(&[6, 6, 6, 2], false; "most hosts are silent for a moment")]
#[test_case(&[6, 6, 2, 2], true; "most hosts are silent")]
#[test_case(&[6, 2, 2, 2, 2, 2, 2, 2, 2, 2], false; "most hosts have been silent for so long that they are gone")]
#[test_case(&[1, 2, 6], false; "the process has just started")]
fn most_hosts_have_to_respond(hosts: &[usize], is_isolated: bool) {
    let mut isolation = Isolation::new(Duration::from_secs(3));
    for (index, hosts) in hosts.iter().enumerate() {
        isolation.record(Instant::from_millis(index as u64 * 500), *hosts);
    }
    assert_eq!(isolation.is_isolated(), is_isolated);
}
