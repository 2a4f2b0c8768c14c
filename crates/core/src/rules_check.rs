//! Consistency checks of the rules and the inventory.

use std::collections::BTreeMap;

use crate::error::{Error, Kind, Result};
use crate::id::{Model, Version};
use crate::inventory::Register;
use crate::rules::Rules;

impl Rules {
    /// Checks the rules for consistency with each other and with the inventory.
    ///
    /// # Errors
    ///
    /// Fails with section, problem and remedy when two accounts have the same key, when the inventory lacks targets for
    /// a model, service or rollout, or when two rollouts move the traffic of one model.
    pub fn check(&self, inventory: &Register) -> Result<()> {
        self.check_keys()?;
        self.check_models(inventory)?;
        self.check_services(inventory)?;
        self.check_rollouts(inventory)
    }

    fn check_keys(&self) -> Result<()> {
        let mut keys = BTreeMap::new();
        for (name, rule) in &self.accounts {
            if let Some(other) = keys.insert(rule.key_hash.to_ascii_lowercase(), name) {
                return Err(section_error(
                    &format!("account {name}"),
                    &format!("account `{other}` has the same key"),
                    "give each account a key of its own",
                ));
            }
        }
        Ok(())
    }

    fn check_models(&self, inventory: &Register) -> Result<()> {
        for (model, rule) in &self.models {
            check_version(&format!("model {model}"), inventory, model, &rule.version)?;
        }
        Ok(())
    }

    fn check_services(&self, inventory: &Register) -> Result<()> {
        let missing = self
            .services
            .keys()
            .find(|service| inventory.instances(service).next().is_none());
        missing.map_or(Ok(()), |service| {
            Err(section_error(
                &format!("service {service}"),
                "no target of the inventory is an instance of the service",
                "add a target or remove the section",
            ))
        })
    }

    fn check_rollouts(&self, inventory: &Register) -> Result<()> {
        let mut models = BTreeMap::new();
        for (name, rule) in &self.rollouts {
            let section = format!("rollout {name}");
            let Some(model) = self.models.get(&rule.model) else {
                return Err(section_error(
                    &section,
                    &format!("there is no model `{}`", rule.model),
                    "correct the name or add the model",
                ));
            };
            if model.version != rule.from && model.version != rule.to {
                return Err(section_error(
                    &section,
                    &format!("model `{}` is served by version `{}`", rule.model, model.version),
                    "set `from` to that version or remove the rollout",
                ));
            }
            check_version(&section, inventory, &rule.model, &rule.from)?;
            check_version(&section, inventory, &rule.model, &rule.to)?;
            if let Some(other) = models.insert(&rule.model, name) {
                return Err(section_error(
                    &section,
                    &format!("rollout `{other}` moves the traffic of model `{}` too", rule.model),
                    "remove the one that is over",
                ));
            }
        }
        Ok(())
    }
}

fn check_version(section: &str, inventory: &Register, model: &Model, version: &Version) -> Result<()> {
    if inventory.engines(model, version).next().is_some() {
        return Ok(());
    }
    Err(section_error(
        section,
        &format!("no target serves model `{model}` in version `{version}`"),
        "correct the version or add a target to the inventory",
    ))
}

fn section_error(section: &str, problem: &str, remedy: &str) -> Error {
    Error::from(Kind::Section {
        section: section.to_owned(),
        problem: problem.to_owned(),
        remedy: remedy.to_owned(),
    })
}
