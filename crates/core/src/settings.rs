//! Validating reader for INI files, which hold the settings of the daemon and the rules.
//!
//! The reader tracks which keys were read and reports all others, so that a misspelt key is always detected.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;

use crate::error::{Error, Kind, Result};

/// A parsed INI file.
#[derive(Debug)]
pub struct File {
    ini: Ini,
}

/// One section of a file.
#[derive(Debug)]
pub struct Section<'a> {
    name: &'a str,
    properties: &'a ini::Properties,
    read: BTreeSet<&'a str>,
}

impl File {
    /// Parses a file.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid INI, if a key precedes the first section, or if a section or key appears twice.
    pub fn parse(text: &str) -> Result<Self> {
        let ini = Ini::load_from_str_noescape(text).map_err(|source| Error::from(Kind::Ini { source }))?;
        let file = Self { ini };
        file.check_unique()?;
        Ok(file)
    }

    /// Returns the sections in file order.
    pub fn sections(&self) -> impl Iterator<Item = Section<'_>> {
        self.ini.iter().filter_map(|(name, properties)| {
            name.map(|name| Section {
                name,
                properties,
                read: BTreeSet::new(),
            })
        })
    }

    /// Returns the section with this name.
    ///
    /// # Errors
    ///
    /// Fails if the section is missing.
    pub fn section(&self, name: &str) -> Result<Section<'_>> {
        self.sections().find(|section| section.name == name).ok_or_else(|| {
            Error::from(Kind::Section {
                section: name.to_owned(),
                problem: "the section is missing".to_owned(),
                remedy: format!("add a line `[{name}]` with its keys"),
            })
        })
    }

    fn check_unique(&self) -> Result<()> {
        if let Some((key, _)) = self.ini.general_section().iter().next() {
            return Err(section_error(
                "",
                &format!("key `{key}` is not in a section"),
                "move it into a section",
            ));
        }
        let mut names = BTreeSet::new();
        for section in self.sections() {
            if !names.insert(section.name) {
                return Err(section_error(
                    section.name,
                    "the section appears twice",
                    "merge the two sections",
                ));
            }
            section.check_unique_keys()?;
        }
        Ok(())
    }
}

impl<'a> Section<'a> {
    /// Returns the full name of the section.
    pub fn name(&self) -> &'a str {
        self.name
    }

    /// Splits the name into its first word and the rest: `[account crews]` gives `account` and `crews`.
    pub fn kind_and_label(&self) -> (&'a str, &'a str) {
        let (kind, label) = self.name.split_once(char::is_whitespace).unwrap_or((self.name, ""));
        (kind, label.trim())
    }

    /// Reads a required key.
    ///
    /// # Errors
    ///
    /// Fails if the key is missing or its value cannot be parsed.
    pub fn required<T>(&mut self, key: &'a str, expected: &str) -> Result<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.optional(key, expected)? {
            Some(value) => Ok(value),
            None => Err(self.error(key, "", "is missing", &format!("set it to {expected}"))),
        }
    }

    /// Reads a key with a default value.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be parsed.
    pub fn default<T>(&mut self, key: &'a str, expected: &str, default: T) -> Result<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        Ok(self.optional(key, expected)?.unwrap_or(default))
    }

    /// Reads an optional key. An empty value counts as missing.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be parsed.
    pub fn optional<T>(&mut self, key: &'a str, expected: &str) -> Result<Option<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.text(key) else {
            return Ok(None);
        };
        text.parse().map(Some).map_err(|source| {
            self.error(
                key,
                text,
                &format!("is not valid ({source})"),
                &format!("set it to {expected}"),
            )
        })
    }

    /// Reads a comma-separated list; a missing key gives an empty list.
    ///
    /// # Errors
    ///
    /// Fails if an element cannot be parsed.
    pub fn list<T>(&mut self, key: &'a str, expected: &str) -> Result<Vec<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text(key).unwrap_or_default();
        let elements = text.split(',').map(str::trim).filter(|element| !element.is_empty());
        elements
            .map(|element| {
                element.parse().map_err(|source| {
                    self.error(
                        key,
                        element,
                        &format!("is not valid ({source})"),
                        &format!("list {expected}"),
                    )
                })
            })
            .collect()
    }

    /// Reads a whole number of milliseconds within `range`.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a whole number or lies outside the range.
    pub fn millis(&mut self, key: &'a str, default: u64, range: std::ops::RangeInclusive<u64>) -> Result<Duration> {
        self.number(key, default, range).map(Duration::from_millis)
    }

    /// Reads a whole number within `range`.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a whole number or lies outside the range.
    pub fn number(&mut self, key: &'a str, default: u64, range: std::ops::RangeInclusive<u64>) -> Result<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let value = self.default(key, &expected, default)?;
        if range.contains(&value) {
            return Ok(value);
        }
        Err(self.error(
            key,
            &value.to_string(),
            "is out of range",
            &format!("set it to {expected}"),
        ))
    }

    /// Creates an error for a key of this section.
    pub fn error(&self, key: &str, value: &str, problem: &str, remedy: &str) -> Error {
        Error::from(Kind::Value {
            section: self.name.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        })
    }

    /// Checks that every key of the section was read.
    ///
    /// # Errors
    ///
    /// Fails if the section has an unknown key.
    pub fn finish(self) -> Result<()> {
        let unknown = self.properties.iter().find(|(key, _)| !self.read.contains(key));
        match unknown {
            None => Ok(()),
            Some((key, value)) => {
                let known = self.read.iter().copied().collect::<Vec<_>>().join(", ");
                Err(self.error(
                    key,
                    value,
                    "is not a known key",
                    &format!("remove it or use one of: {known}"),
                ))
            }
        }
    }

    fn text(&mut self, key: &'a str) -> Option<&'a str> {
        self.read.insert(key);
        self.properties.get(key).map(str::trim).filter(|text| !text.is_empty())
    }

    fn check_unique_keys(&self) -> Result<()> {
        let mut keys = BTreeSet::new();
        let duplicate = self.properties.iter().find(|(key, _)| !keys.insert(*key));
        match duplicate {
            None => Ok(()),
            Some((key, value)) => Err(self.error(key, value, "appears twice", "keep one of the two lines")),
        }
    }
}

fn section_error(section: &str, problem: &str, remedy: &str) -> Error {
    Error::from(Kind::Section {
        section: section.to_owned(),
        problem: problem.to_owned(),
        remedy: remedy.to_owned(),
    })
}
