//! The bounds of the configuration, checked.

use std::time::Duration;

use crate::config::Scaling;

/// The longest startup time that is not taken for a mistake.
const MAX_STARTUP: Duration = Duration::from_secs(24 * 60 * 60);

/// Valid bounds on the number of targets of a service in one data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    min: u32,
    max: u32,
    startup: Duration,
}

/// The reason why no targets can be ordered with the bounds of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// There is no maximum.
    #[error("the maximum number of targets is 0 or missing; set it to what a data centre may have at most")]
    NoMaximum,
    /// The bounds are in the wrong order.
    #[error("the minimum number of targets is missing or above the maximum of {max}; lower it or raise the maximum")]
    MinimumAboveMaximum {
        /// The maximum.
        max: u32,
    },
    /// The time from an order to the first request is unknown.
    #[error(
        "the startup time is missing, 0 or above a day; set it to the time from an order to a target's first request"
    )]
    NoStartup,
}

impl Bounds {
    /// Checks the bounds of a service.
    ///
    /// # Errors
    ///
    /// Fails when the bounds admit no number of targets or have no startup time.
    pub fn new(scaling: Scaling) -> Result<Self, Error> {
        let Scaling { min, max, startup } = scaling;
        if max == 0 {
            return Err(Error::NoMaximum);
        }
        if min > max {
            return Err(Error::MinimumAboveMaximum { max });
        }
        if startup.is_zero() || startup > MAX_STARTUP {
            return Err(Error::NoStartup);
        }
        Ok(Self { min, max, startup })
    }

    /// Returns the time from an order to the first request that a new target serves.
    pub fn startup(&self) -> Duration {
        self.startup
    }

    /// Returns the nearest number of targets within the bounds.
    pub fn clamp(&self, targets: u32) -> u32 {
        targets.clamp(self.min, self.max)
    }
}
