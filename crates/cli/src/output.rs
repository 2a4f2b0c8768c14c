//! Results on standard output, progress and errors on standard error.

use std::fmt::Display;
use std::io::{self, Write};

use serde::Serialize;

use crate::error::{Error, Kind, Result};

/// How results are printed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    json: bool,
    quiet: bool,
}

impl Output {
    pub(crate) fn new(json: bool, quiet: bool) -> Self {
        Self { json, quiet }
    }

    pub(crate) fn is_json(self) -> bool {
        self.json
    }

    /// Prints a result as JSON or as text.
    pub(crate) fn result(self, value: &impl Serialize, text: impl Display) -> Result<()> {
        let line = if self.json {
            serde_json::to_string(value).unwrap_or_default()
        } else {
            text.to_string()
        };
        writeln!(io::stdout(), "{line}").map_err(|source| Kind::Output { source }.into())
    }

    /// Prints a piece of a text at once.
    pub(crate) fn piece(self, text: &str) -> Result<()> {
        if self.json {
            return Ok(());
        }
        let mut stdout = io::stdout();
        let written = stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush());
        written.map_err(|source| Kind::Output { source }.into())
    }

    /// Reports what a command waits for. A closed standard error does not stop the command.
    pub(crate) fn progress(self, text: impl Display) {
        if !self.quiet {
            let _ = writeln!(io::stderr(), "{text}");
        }
    }

    /// Reports an error.
    pub(crate) fn error(self, error: &Error) {
        let text = if self.json {
            error.to_json().to_string()
        } else {
            format!("hawthornpost: {error}")
        };
        // The exit code tells the same when standard error is closed.
        let _ = writeln!(io::stderr(), "{text}");
    }
}
