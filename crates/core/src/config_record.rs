//! The records that chunks store, one per line.

use serde::{Deserialize, Serialize};

use crate::config::Document;
use crate::id::{Account, Model, Rollout, Service, Target};
use crate::inventory::Item;
use crate::rules::{AccountRule, ModelRule, RolloutRule, ServiceRule};

/// A named section of a document: one rule or one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Record {
    Account(Account, AccountRule),
    Model(Model, ModelRule),
    Rollout(Rollout, RolloutRule),
    Service(Service, ServiceRule),
    Target(Target, Item),
}

impl Record {
    /// Returns the records of a document in the order of their sections.
    pub(crate) fn all(document: &Document) -> impl Iterator<Item = Self> {
        let rules = &document.rules;
        let accounts = rules.accounts.iter().map(|(n, r)| Self::Account(n.clone(), r.clone()));
        let models = rules.models.iter().map(|(n, r)| Self::Model(n.clone(), r.clone()));
        let rollouts = rules.rollouts.iter().map(|(n, r)| Self::Rollout(n.clone(), r.clone()));
        let services = rules.services.iter().map(|(n, r)| Self::Service(n.clone(), r.clone()));
        let targets = document
            .inventory
            .iter()
            .map(|(n, i)| Self::Target(n.clone(), i.clone()));
        accounts.chain(models).chain(rollouts).chain(services).chain(targets)
    }

    /// Returns the section, such as `account crews`.
    pub(crate) fn section(&self) -> String {
        match self {
            Self::Account(name, _) => format!("account {name}"),
            Self::Model(name, _) => format!("model {name}"),
            Self::Rollout(name, _) => format!("rollout {name}"),
            Self::Service(name, _) => format!("service {name}"),
            Self::Target(name, _) => format!("target {name}"),
        }
    }

    /// Adds the record to a document and returns whether its name was new.
    pub(crate) fn insert_into(self, document: &mut Document) -> bool {
        let rules = &mut document.rules;
        match self {
            Self::Account(name, rule) => rules.accounts.insert(name, rule).is_none(),
            Self::Model(name, rule) => rules.models.insert(name, rule).is_none(),
            Self::Rollout(name, rule) => rules.rollouts.insert(name, rule).is_none(),
            Self::Service(name, rule) => rules.services.insert(name, rule).is_none(),
            Self::Target(name, item) => document.inventory.insert(name, item).is_none(),
        }
    }

    /// Returns the fields as JSON.
    pub(crate) fn fields(&self) -> serde_json::Value {
        let fields = match self {
            Self::Account(_, rule) => serde_json::to_value(rule),
            Self::Model(_, rule) => serde_json::to_value(rule),
            Self::Rollout(_, rule) => serde_json::to_value(rule),
            Self::Service(_, rule) => serde_json::to_value(rule),
            Self::Target(_, item) => serde_json::to_value(item),
        };
        fields.unwrap_or_default()
    }
}
