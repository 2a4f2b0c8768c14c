//! Guards against an experiment that no longer runs on the example files, and against incomplete answers after an entry
//! host was killed.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use hawthornpost_lab::EXPERIMENTS;
use hawthornpost_lab::experiment::Options;

/// Returns the path of the daemon binary, which a workspace test run builds in the parent of the test directory.
///
/// A test run of this package alone does not build the daemon and uses the binary of the last build, if there is one.
fn daemon() -> Option<PathBuf> {
    let program = std::env::current_exe().expect("a path");
    let daemon = program.parent()?.parent()?.join("hawthornpostd");
    daemon.is_file().then_some(daemon)
}

#[test]
fn answers_are_complete_after_entry_host_is_killed() {
    let Some(daemon) = daemon() else {
        println!("skipped: hawthornpostd is not built; run the tests of the whole workspace");
        return;
    };
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let set = [
        ("deployment", "omaruru"),
        ("examples", &examples.to_string_lossy()),
        ("daemon", &daemon.to_string_lossy()),
        ("seconds", "6"),
        ("scale", "6"),
        ("streams", "12"),
        ("faults", "entry-once"),
    ];
    let set = set.map(|(name, value)| (name.to_owned(), value.to_owned()));
    let options = Options {
        seed: 1,
        seeds: 1,
        set: BTreeMap::from(set),
    };
    let experiment = EXPERIMENTS.iter().find(|experiment| experiment.name == "deployment");
    let table = (experiment.expect("the experiment registers itself").run)(&options);
    assert!(table.violations.is_empty(), "{:#?}", table.violations);
    let cell = |measure: &str| {
        table
            .rows
            .iter()
            .find(|row| row[0] == measure)
            .map(|row| row[1].clone())
    };
    let started = cell("generations started").expect("a count");
    assert_ne!(started, "0", "callers generate");
    assert_ne!(cell("actions done").as_deref(), Some("0"), "callers act");
    assert_ne!(cell("lookups answered").as_deref(), Some("0"), "callers look up");
}
