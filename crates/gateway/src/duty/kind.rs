//! The duties that a deployment may ask for.

use std::fmt;
use std::str::FromStr;

/// A duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Duty {
    /// Report the usage of each client account in each window.
    Usage,
    /// Order the number of targets of services.
    Scaling,
}

/// The reason why a text names no duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no such duty; use usage_report or autoscale")]
pub struct ParseError;

impl FromStr for Duty {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "usage_report" => Ok(Self::Usage),
            "autoscale" => Ok(Self::Scaling),
            _ => Err(ParseError),
        }
    }
}

impl fmt::Display for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Usage => "usage_report",
            Self::Scaling => "autoscale",
        })
    }
}
