//! The versions of a service that may take a request.

use std::collections::BTreeSet;

use crate::target::Target;

/// A selection of versions, or of targets of a version.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Versions {
    /// All versions.
    #[default]
    Any,
    /// All versions except these.
    Except(BTreeSet<String>),
    /// Some targets of a version on trial.
    Only {
        /// The version.
        version: String,
        /// The share of its targets that take requests.
        share: f64,
        /// Selects the targets of the share; successive numbers select successive targets.
        rotation: usize,
    },
}

impl Versions {
    /// Resolves the selection for these targets of one service.
    pub(crate) fn filter<'a>(&'a self, targets: impl Iterator<Item = &'a Target>) -> Filter<'a> {
        match self {
            Self::Any => Filter::All,
            Self::Except(versions) => Filter::Except(versions),
            Self::Only {
                version,
                share,
                rotation,
            } => {
                let ids = targets.filter(|target| target.version == *version);
                let ids = ids.map(|target| target.id.as_str()).collect::<Vec<_>>();
                Filter::Ids(select(&ids, *share, *rotation))
            }
        }
    }
}

/// [`Versions`] resolved for known targets.
pub(crate) enum Filter<'a> {
    All,
    Except(&'a BTreeSet<String>),
    Ids(Vec<&'a str>),
}

impl Filter<'_> {
    /// Returns whether a target may take the request.
    pub(crate) fn admits(&self, target: &Target) -> bool {
        match self {
            Self::All => true,
            Self::Except(versions) => !versions.contains(&target.version),
            Self::Ids(ids) => ids.contains(&target.id.as_str()),
        }
    }
}

/// Selects a share of the targets, beginning at a position that depends on the rotation.
fn select<'a>(ids: &[&'a str], share: f64, rotation: usize) -> Vec<&'a str> {
    if ids.is_empty() {
        return Vec::new();
    }
    let count = (1..ids.len()).find(|count| *count as f64 >= ids.len() as f64 * share);
    let count = count.unwrap_or(ids.len());
    let first = rotation.wrapping_mul(count) % ids.len();
    ids.iter().cycle().skip(first).take(count).copied().collect()
}
