//! Guards against example settings that the daemon rejects, and against examples whose entry hosts do not form one
//! deployment.

use std::collections::BTreeSet;
use std::path::Path;

use hawthornpost_daemon::settings::Settings;
use test_case::test_case;

#[test_case("omaruru", 6; "omaruru")]
#[test_case("caledonian", 7; "caledonian")]
fn the_settings_of_all_entry_hosts_are_consistent(name: &str, hosts: usize) {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    let files = std::fs::read_dir(directory).expect("the directory of the example");
    let paths = files.map(|file| file.expect("a file").path());
    let paths = paths.filter(|path| path.to_string_lossy().contains("-entry-"));
    let all = paths
        .map(|path| Settings::load(&path).expect("valid settings"))
        .collect::<Vec<_>>();
    let listening = all
        .iter()
        .map(|settings| settings.peers.listen)
        .collect::<BTreeSet<_>>();
    assert_eq!((all.len(), listening.len()), (hosts, hosts));
    for settings in &all {
        let mut known = settings.peers.seeds.iter().copied().collect::<BTreeSet<_>>();
        known.insert(settings.peers.listen);
        assert_eq!(known, listening, "{}", settings.entry.name);
        assert!(settings.peers.key == all[0].peers.key, "one peer key");
    }
}
