//! Parser for the Markdown tables of the documentation; tests of other crates include this file too.

/// Returns the rows of the tables whose first column satisfies the condition.
pub fn rows(page: &str, is_key: impl Fn(&str) -> bool) -> Vec<Vec<String>> {
    let lines = page
        .lines()
        .filter_map(|line| line.strip_prefix("| ")?.strip_suffix(" |"));
    let rows = lines.map(|line| line.split(" | ").map(|cell| cell.trim().to_owned()).collect::<Vec<_>>());
    rows.filter(|row| is_key(&row[0])).collect()
}
