//! Differences between two documents.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::config::Document;
use crate::config_record::Record;

/// One difference between two documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The section, such as `account crews` or `target eng-7`.
    pub section: String,
    /// The kind of difference.
    #[serde(flatten)]
    pub change: Change,
}

/// The kind of difference in a section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Only the second document has the section.
    Added,
    /// Only the first document has the section.
    Removed,
    /// A field has another value.
    Changed {
        /// The name of the field.
        field: String,
        /// The value in the first document.
        before: String,
        /// The value in the second document.
        after: String,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let section = &self.section;
        match &self.change {
            Change::Added => write!(f, "+ [{section}]"),
            Change::Removed => write!(f, "- [{section}]"),
            Change::Changed { field, before, after } => write!(f, "~ [{section}] {field}: {before} -> {after}"),
        }
    }
}

/// Returns the changes from one document to another, sorted by section.
///
/// Key hashes are truncated because the result is meant for display.
pub fn diff(before: &Document, after: &Document) -> Vec<Difference> {
    let old = sections(before);
    let new = sections(after);
    let mut lines = Vec::new();
    for (section, record) in &old {
        match new.get(section) {
            None => lines.push(line(section, Change::Removed)),
            Some(other) if record != other => lines.extend(changes(section, record, other)),
            Some(_) => {}
        }
    }
    let added = new.keys().filter(|section| !old.contains_key(*section));
    lines.extend(added.map(|section| line(section, Change::Added)));
    lines.sort_by(|a, b| a.section.cmp(&b.section));
    lines
}

fn sections(document: &Document) -> BTreeMap<String, Record> {
    Record::all(document).map(|record| (record.section(), record)).collect()
}

fn changes(section: &str, before: &Record, after: &Record) -> Vec<Difference> {
    let (old, new) = (before.fields(), after.fields());
    let (Value::Object(old), Value::Object(new)) = (&old, &new) else {
        return Vec::new();
    };
    let added = new.keys().filter(|field| !old.contains_key(*field));
    let differs = old
        .keys()
        .chain(added)
        .filter(|field| old.get(*field) != new.get(*field));
    differs
        .map(|field| {
            let change = Change::Changed {
                field: field.clone(),
                before: display_value(field, old.get(field)),
                after: display_value(field, new.get(field)),
            };
            line(section, change)
        })
        .collect()
}

fn display_value(field: &str, value: Option<&Value>) -> String {
    match value {
        None => "none".to_owned(),
        Some(Value::String(text)) if field == "key_hash" => format!("{}...", text.get(..8).unwrap_or_default()),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

fn line(section: &str, change: Change) -> Difference {
    Difference {
        section: section.to_owned(),
        change,
    }
}
