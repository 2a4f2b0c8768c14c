//! Guards against example configurations that are invalid or whose sizes differ from those of the users' deployments.

mod common;

use common::{run, stderr, stdout};
use test_case::test_case;

#[test_case("omaruru", "23 targets, 10 accounts, 2 models, 1 services, 1 rollouts"; "omaruru")]
#[test_case("caledonian", "38 targets, 10 accounts, 2 models, 1 services, 0 rollouts"; "caledonian")]
fn examples_are_valid(name: &str, counts: &str) {
    let directory = format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
    let (inventory, rules) = (format!("{directory}/assets.csv"), format!("{directory}/rules.ini"));
    let output = run(&["validate", "--inventory", &inventory, "--rules", &rules], "");
    assert_eq!(stdout(&output), format!("valid: {counts}\n"), "{}", stderr(&output));
}
