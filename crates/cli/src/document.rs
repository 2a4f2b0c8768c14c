//! Reads inventory and rules from files.

use std::path::Path;

use hawthornpost_core::config::Document;
use hawthornpost_core::inventory::Register;
use hawthornpost_core::rules::Rules;

use crate::error::{Error, Kind, Result};

/// Reads a UTF-8 text file.
pub(crate) fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| {
        let path = path.to_owned();
        Kind::ReadFile { path, source }.into()
    })
}

/// Reads and parses an asset register.
pub(crate) fn register(path: &Path) -> Result<Register> {
    Register::import(&read(path)?).map_err(|source| invalid(path, source))
}

/// Reads inventory and rules and checks them against each other.
pub(crate) fn load(inventory: &Path, rules: &Path) -> Result<Document> {
    let document = Document {
        version: 0,
        inventory: register(inventory)?,
        rules: Rules::parse(&read(rules)?).map_err(|source| invalid(rules, source))?,
    };
    let result = document.rules.check(&document.inventory);
    result.map_err(|source| Kind::Inconsistent { source })?;
    Ok(document)
}

fn invalid(path: &Path, source: hawthornpost_core::Error) -> Error {
    let path = path.to_owned();
    Kind::InvalidFile { path, source }.into()
}
