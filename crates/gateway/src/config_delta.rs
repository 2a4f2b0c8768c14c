//! The difference between two versions of the configuration.

use std::io;

use flate2::CrcWriter;
use serde::{Deserialize, Serialize};

use crate::config::{Account, Config, Limits, Route, Service};
use crate::list_delta;

/// The changes from one version to another. They reproduce the new version exactly.
///
/// ```
/// use hawthornpost_gateway::config::Config;
/// use hawthornpost_gateway::config_delta::Delta;
///
/// let old = Config { version: 3, ..Config::default() };
/// let new = Config { version: 5, accounts: Some(Vec::new()), ..Config::default() };
/// assert_eq!(Delta::between(&old, &new).apply(&old), Ok(new));
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    base: u64,
    version: u64,
    /// The checksum of the new version.
    checksum: u32,
    routes: list_delta::Delta<Route>,
    services: list_delta::Delta<Service>,
    accounts: Option<list_delta::Delta<Account>>,
    limits: Limits,
}

/// The reason why a delta cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The delta belongs to another version.
    #[error("the delta begins at version {base}, not at {known}; fetch the whole configuration")]
    Base {
        /// The version to which the delta applies.
        base: u64,
        /// The version to which it was applied.
        known: u64,
    },
    /// The delta keeps elements that the base does not have.
    #[error("the delta does not fit its base; fetch the whole configuration")]
    Range,
    /// The contents of the base differ from those that the sender has.
    #[error("the delta yields another checksum than the sender's; fetch the whole configuration")]
    Checksum,
}

impl Delta {
    /// Computes the changes from `old` to `new`.
    pub fn between(old: &Config, new: &Config) -> Self {
        let accounts = new.accounts.as_deref().map(|accounts| {
            let old = old.accounts.as_deref().unwrap_or_default();
            list_delta::Delta::between(old, accounts, |account| &account.name)
        });
        Self {
            base: old.version,
            version: new.version,
            checksum: checksum(new),
            routes: list_delta::Delta::between(&old.routes, &new.routes, |route| &route.name),
            services: list_delta::Delta::between(&old.services, &new.services, |service| &service.name),
            accounts,
            limits: new.limits,
        }
    }

    /// Returns the version to which the changes apply.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// Returns the version that the changes yield.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies the changes.
    ///
    /// # Errors
    ///
    /// Fails when `old` is not the base of the delta.
    pub fn apply(&self, old: &Config) -> Result<Config, Failure> {
        if old.version != self.base {
            return Err(Failure::Base {
                base: self.base,
                known: old.version,
            });
        }
        let new = self.edit(old).ok_or(Failure::Range)?;
        if checksum(&new) == self.checksum {
            Ok(new)
        } else {
            Err(Failure::Checksum)
        }
    }

    fn edit(&self, old: &Config) -> Option<Config> {
        let accounts = match &self.accounts {
            Some(delta) => Some(delta.apply(old.accounts.as_deref().unwrap_or_default())?),
            None => None,
        };
        Some(Config {
            version: self.version,
            routes: self.routes.apply(&old.routes)?,
            services: self.services.apply(&old.services)?,
            accounts,
            limits: self.limits,
        })
    }
}

/// Returns the checksum of a configuration in JSON.
fn checksum(config: &Config) -> u32 {
    let mut writer = CrcWriter::new(io::sink());
    if let Err(error) = serde_json::to_writer(&mut writer, config) {
        log::error!("cannot encode configuration version {}: {error}", config.version);
    }
    writer.crc().sum()
}
