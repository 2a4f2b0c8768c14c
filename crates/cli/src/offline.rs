//! The commands `validate`, `import` and `hash-key`, which contact no entry host.

use std::collections::BTreeMap;
use std::io::{self, Read};

use hawthornpost_core::inventory::{Register, Role};
use serde_json::json;

use crate::Session;
use crate::arguments::{Import, Validate};
use crate::document;
use crate::error::{Kind, Result};

impl Validate {
    pub(crate) fn run(&self, session: &Session) -> Result<()> {
        let document = document::load(&self.inventory, &self.rules)?;
        let (targets, accounts) = (document.inventory.len(), document.rules.accounts.len());
        let (models, services) = (document.rules.models.len(), document.rules.services.len());
        let rollouts = document.rules.rollouts.len();
        let counts = json!({ "valid": true, "targets": targets, "accounts": accounts, "models": models,
            "services": services, "rollouts": rollouts });
        let text = format!(
            "valid: {targets} targets, {accounts} accounts, {models} models, {services} services, {rollouts} rollouts"
        );
        session.output.result(&counts, text)
    }
}

impl Import {
    pub(crate) fn run(&self, session: &Session) -> Result<()> {
        let register = document::register(&self.register)?;
        session.output.result(&register, summary(&register))
    }
}

/// Reads a key from standard input and prints its hash.
pub(crate) fn hash_key(session: &Session) -> Result<()> {
    let mut key = String::new();
    let read = io::stdin().read_to_string(&mut key);
    read.map_err(|source| Kind::ReadStdin { source })?;
    let hash = blake3::hash(key.trim().as_bytes()).to_hex();
    session.output.result(&json!({ "key_hash": hash.as_str() }), hash)
}

/// Returns the number of targets for each role, version and data centre, one line each.
fn summary(register: &Register) -> String {
    let mut counts = BTreeMap::new();
    for (_, item) in register.iter() {
        let kind = match &item.role {
            Role::Engine { model, .. } => format!("engines of {model} {}", item.version),
            Role::Service { service, .. } => format!("instances of {service} {}", item.version),
        };
        *counts.entry((kind, item.data_centre.clone())).or_insert(0_u32) += 1;
    }
    let lines = counts
        .iter()
        .map(|((kind, data_centre), count)| format!("{count:4} {kind} in {data_centre}"));
    let total = format!("{:4} targets", register.len());
    lines.chain([total]).collect::<Vec<_>>().join("\n")
}
