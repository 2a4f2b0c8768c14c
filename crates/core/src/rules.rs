//! Rules set by operators: accounts, models, services and rollouts.

use std::collections::BTreeMap;

use jiff::Timestamp;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::id::{Account, Model, Rollout, Service, Version};
use crate::settings::{File, Section};

/// With fewer requests, a version that fails one request in twenty cannot be distinguished from one that fails none.
const DEFAULT_MIN_REQUESTS: u64 = 50;
/// How long the old version stays loaded by default: 30 minutes.
const DEFAULT_KEEP_MS: u64 = 30 * 60 * 1000;
/// One week. A longer time is probably a mistake in the unit.
const MAX_KEEP_MS: u64 = 7 * 24 * 60 * 60 * 1000;

/// All rules of one configuration version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// The client accounts.
    pub accounts: BTreeMap<Account, AccountRule>,
    /// The models that callers may request.
    pub models: BTreeMap<Model, ModelRule>,
    /// The plain services that callers may use.
    pub services: BTreeMap<Service, ServiceRule>,
    /// The rollouts between versions.
    pub rollouts: BTreeMap<Rollout, RolloutRule>,
}

/// The rule of a client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountRule {
    /// The BLAKE3 hash of the account's key, in hexadecimal digits.
    pub key_hash: String,
    /// The priority from 0, which is refused first, to 9.
    pub priority: u8,
    /// The share of the capacity that the account gets under overload, relative to the other accounts.
    pub share: u32,
}

/// The rule of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRule {
    /// The version that serves requests outside a rollout.
    pub version: Version,
    /// The maximum number of tokens that a caller may request.
    pub max_tokens: u32,
}

/// The rule of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRule {
    /// The timeout of a call, in milliseconds.
    pub timeout_ms: u64,
}

/// The rule of a rollout, which moves the traffic of a model from one version to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutRule {
    /// The model whose traffic moves.
    pub model: Model,
    /// The version that the traffic moves from.
    pub from: Version,
    /// The version that the traffic moves to.
    pub to: Version,
    /// When the rollout starts.
    pub start: Timestamp,
    /// When the rollout has to be complete.
    pub deadline: Timestamp,
    /// The number of requests per route that the new version must serve before each doubling of its share.
    pub min_requests: u32,
    /// How long the old version stays loaded after the rollout, in milliseconds.
    pub keep_ms: u64,
    /// Whether operators aborted the rollout; all traffic then stays on the old version.
    pub aborted: bool,
}

impl Rules {
    /// Parses rules from INI.
    ///
    /// ```
    /// let rules = hawthornpost_core::rules::Rules::parse("[model letters]\nversion = v1\nmax_tokens = 4000\n")?;
    /// assert_eq!(rules.models.len(), 1);
    /// # Ok::<(), hawthornpost_core::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Fails when a rule is malformed, with section, key, value and a remedy.
    pub fn parse(text: &str) -> Result<Self> {
        let file = File::parse(text)?;
        let mut rules = Self::default();
        for section in file.sections() {
            rules.read_section(section)?;
        }
        Ok(rules)
    }

    /// Returns the account whose key has this hash.
    pub fn account_by_key_hash(&self, hash: &blake3::Hash) -> Option<(&Account, &AccountRule)> {
        // `blake3::Hash` compares in constant time. The loop does not stop early either, so that timing reveals
        // nothing.
        let mut found = None;
        for (name, rule) in &self.accounts {
            if blake3::Hash::from_hex(&rule.key_hash).is_ok_and(|stored| stored == *hash) {
                found = Some((name, rule));
            }
        }
        found
    }

    fn read_section(&mut self, section: Section<'_>) -> Result<()> {
        match section.kind_and_label() {
            ("account", name) => {
                self.accounts.insert(Account::new(name)?, account(section)?);
            }
            ("model", name) => {
                self.models.insert(Model::new(name)?, model(section)?);
            }
            ("service", name) => {
                self.services.insert(Service::new(name)?, service(section)?);
            }
            ("rollout", name) => {
                self.rollouts.insert(Rollout::new(name)?, rollout(section)?);
            }
            _ => return Err(unknown_section(section.name())),
        }
        Ok(())
    }
}

fn unknown_section(name: &str) -> Error {
    Error::from(Kind::Section {
        section: name.to_owned(),
        problem: "is not a known kind of section".to_owned(),
        remedy: "use [account NAME], [model NAME], [service NAME] or [rollout NAME]".to_owned(),
    })
}

fn account(mut section: Section<'_>) -> Result<AccountRule> {
    let key_hash: String = section.required(
        "key_hash",
        "the blake3 hash of the account's key, 64 hexadecimal digits",
    )?;
    if blake3::Hash::from_hex(&key_hash).is_err() {
        return Err(section.error(
            "key_hash",
            &key_hash,
            "is not a blake3 hash",
            "set it to 64 hexadecimal digits",
        ));
    }
    let rule = AccountRule {
        key_hash,
        priority: u8::try_from(section.number("priority", 5, 0..=9)?).unwrap_or(9),
        share: u32::try_from(section.number("share", 10, 1..=1000)?).unwrap_or(1000),
    };
    section.finish()?;
    Ok(rule)
}

fn model(mut section: Section<'_>) -> Result<ModelRule> {
    let rule = ModelRule {
        version: section.required("version", "the name of a version in the inventory")?,
        max_tokens: u32::try_from(section.number("max_tokens", 4096, 1..=1_000_000)?).unwrap_or(u32::MAX),
    };
    section.finish()?;
    Ok(rule)
}

fn service(mut section: Section<'_>) -> Result<ServiceRule> {
    let rule = ServiceRule {
        timeout_ms: section.number("timeout_ms", 10_000, 10..=600_000)?,
    };
    section.finish()?;
    Ok(rule)
}

fn rollout(mut section: Section<'_>) -> Result<RolloutRule> {
    let time = "a time such as 2027-01-31T18:00:00Z";
    let rule = RolloutRule {
        model: section.required("model", "the name of a model")?,
        from: section.required("from", "the version that serves now")?,
        to: section.required("to", "the new version")?,
        start: section.required("start", time)?,
        deadline: section.required("deadline", time)?,
        min_requests: u32::try_from(section.number("min_requests", DEFAULT_MIN_REQUESTS, 1..=100_000)?)
            .unwrap_or(u32::MAX),
        keep_ms: section.number("keep_ms", DEFAULT_KEEP_MS, 0..=MAX_KEEP_MS)?,
        aborted: section.default("aborted", "true or false", false)?,
    };
    if rule.from == rule.to {
        let to = rule.to.to_string();
        return Err(section.error("to", &to, "is the version that serves now", "set it to the new version"));
    }
    if rule.deadline <= rule.start {
        let deadline = rule.deadline.to_string();
        return Err(section.error("deadline", &deadline, "is not after the start", "set a later deadline"));
    }
    section.finish()?;
    Ok(rule)
}
