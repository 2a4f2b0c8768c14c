//! Experiments and their results.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::str::FromStr;

use linkme::distributed_slice;

/// All experiments; each module registers its own.
#[distributed_slice]
pub static EXPERIMENTS: [Experiment];

/// An experiment that can be run from the command line.
#[derive(Clone, Copy, Debug)]
pub struct Experiment {
    /// The name on the command line.
    pub name: &'static str,
    /// One line that says what is measured.
    pub summary: &'static str,
    /// Runs the experiment with the seeds given by the options.
    pub run: fn(&Options) -> Table,
}

/// Command line options of an experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// The first seed.
    pub seed: u64,
    /// The number of seeds.
    pub seeds: u64,
    /// Settings specific to an experiment, by name.
    pub set: BTreeMap<String, String>,
}

impl Options {
    /// Returns a setting of the experiment, or the default when it is not set.
    ///
    /// # Errors
    ///
    /// Fails with the name and the value when the value is malformed.
    pub fn get<T: FromStr>(&self, name: &str, default: T) -> Result<T, String> {
        let Some(value) = self.set.get(name) else {
            return Ok(default);
        };
        value
            .parse()
            .map_err(|_malformed| format!("`{name}={value}` is malformed; see docs/deployments.md"))
    }
}

/// A table of results; cells are text, and units are in the column titles.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// The titles of the columns, with units.
    pub columns: Vec<String>,
    /// The rows.
    pub rows: Vec<Vec<String>>,
    /// Violations of the properties that the experiment checks; the program exits with an error if there are any.
    pub violations: Vec<String>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(columns: impl IntoIterator<Item = impl Into<String>>) -> Self {
        Self {
            columns: columns.into_iter().map(Into::into).collect(),
            rows: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn push(&mut self, row: impl IntoIterator<Item = impl Into<String>>) {
        self.rows.push(row.into_iter().map(Into::into).collect());
    }

    /// Writes the table as CSV.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write_csv(&self, path: &Path) -> Result<(), csv::Error> {
        let mut writer = csv::Writer::from_path(path)?;
        writer.write_record(&self.columns)?;
        for row in &self.rows {
            writer.write_record(row)?;
        }
        writer.flush().map_err(csv::Error::from)
    }

    /// Prints the table with aligned columns.
    ///
    /// # Errors
    ///
    /// Fails when the output cannot be written.
    pub fn print(&self, mut output: impl io::Write) -> io::Result<()> {
        let widths = self.widths();
        for row in std::iter::once(&self.columns).chain(&self.rows) {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:>width$}"));
            writeln!(output, "{}", cells.collect::<Vec<_>>().join("  "))?;
        }
        Ok(())
    }

    fn widths(&self) -> Vec<usize> {
        let width = |column: usize| {
            let cells = std::iter::once(&self.columns)
                .chain(&self.rows)
                .filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..self.columns.len()).map(width).collect()
    }
}
