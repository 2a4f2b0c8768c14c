//! Guards against documentation that differs from the code: missing events, metrics or settings keys, and events with
//! other numbers, levels or texts.

mod table;

use hawthornpost_daemon::event::{CATALOGUE, Listed};
use hawthornpost_daemon::metric::DESCRIPTIONS;

use table::rows;

#[test]
fn the_catalogue_lists_every_event() {
    let listed = rows(include_str!("../../../docs/events.md"), |key| {
        key.parse::<u16>().is_ok()
    });
    let expected = CATALOGUE
        .iter()
        .map(|event| vec![event.number.to_string(), event.level.to_string(), event.text.to_owned()]);
    let without_remedy = listed.iter().map(|row| row[..3].to_vec()).collect::<Vec<_>>();
    assert_eq!(without_remedy, expected.collect::<Vec<_>>());
    assert!(
        listed.iter().all(|row| row.len() == 4 && !row[3].is_empty()),
        "every event has a remedy"
    );
}

#[test]
fn numbers_are_unique_and_sorted() {
    assert!(CATALOGUE.is_sorted_by(|left, right| left.number < right.number));
}

/// Guards against a documented event that is never logged.
#[test]
fn every_event_is_logged_somewhere() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/src");
    let files = std::fs::read_dir(directory).expect("the sources");
    let sources = files.map(|file| std::fs::read_to_string(file.expect("a file").path()).expect("a source"));
    let sources = sources.collect::<String>();
    let unused = CATALOGUE
        .iter()
        .filter(|event| !sources.contains(&format!("Event::{} {{", event.name)));
    assert_eq!(unused.collect::<Vec<_>>(), Vec::<&Listed>::new());
}

#[test]
fn the_operators_page_lists_every_metric() {
    let listed = rows(include_str!("../../../docs/operators.md"), |key| {
        key.starts_with("`hawthornpost_")
    });
    let expected = DESCRIPTIONS
        .iter()
        .map(|(name, text)| vec![format!("`{name}`"), (*text).to_owned()]);
    assert_eq!(listed, expected.collect::<Vec<_>>());
}

/// Guards against an undocumented settings key.
#[test]
fn the_operators_page_lists_every_settings_key() {
    let page = include_str!("../../../docs/operators.md");
    for (file, source) in [
        ("settings", include_str!("../src/settings.rs")),
        ("rules", include_str!("../../core/src/rules.rs")),
    ] {
        let keys = keys(source);
        assert!(keys.len() >= 10, "{file}: {keys:?}");
        let missing = keys.iter().filter(|key| !page.contains(&format!("`{key}`")));
        assert_eq!(missing.collect::<Vec<_>>(), Vec::<&&str>::new(), "{file}");
    }
}

/// Returns the keys that a source file reads with calls such as `section.required("key", ...)` or
/// `count(&mut section, "key", ...)`.
fn keys(source: &str) -> Vec<&str> {
    let after = |reader: &'static str| source.split(reader).skip(1).map(str::trim_start);
    let calls = [
        ".required(",
        ".default(",
        ".optional(",
        ".millis(",
        ".number(",
        ".list::<String>(",
        ".list(",
    ];
    let direct = calls.into_iter().flat_map(after);
    let direct = direct.chain(after("count(&mut section, "));
    let quoted = direct.filter_map(|text| text.strip_prefix('"')?.split_once('"'));
    quoted.map(|(key, _)| key).collect()
}
