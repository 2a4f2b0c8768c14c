//! The register of targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{DataCentre, Model, Service, Target, Version};

/// All targets by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Register {
    items: BTreeMap<Target, Item>,
}

/// One target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// The address that requests are sent to.
    pub address: SocketAddr,
    /// The data centre of the target.
    pub data_centre: DataCentre,
    /// What the target serves.
    pub role: Role,
    /// The version that the target serves.
    pub version: Version,
}

/// What a target serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "snake_case", deny_unknown_fields)]
pub enum Role {
    /// A model engine.
    Engine {
        /// The model that the engine serves.
        model: Model,
        /// The token capacity of the engine's memory.
        capacity_tokens: u64,
        /// How the engine treats the fencing number of an order.
        fencing: Fencing,
    },
    /// A plain service.
    Service {
        /// The service that the target is an instance of.
        service: Service,
        /// Whether the target answers status lookups by claim id.
        status_lookup: bool,
    },
}

/// How an engine treats the fencing number of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The engine refuses an order whose fencing number is lower than the highest one that it has seen.
    Checked,
    /// The engine ignores the fencing number.
    Ignored,
}

impl Register {
    /// Adds a target and returns the previous target of that name.
    pub fn insert(&mut self, name: Target, item: Item) -> Option<Item> {
        self.items.insert(name, item)
    }

    /// Returns the target with this name.
    pub fn get(&self, name: &Target) -> Option<&Item> {
        self.items.get(name)
    }

    /// Returns all targets, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Target, &Item)> {
        self.items.iter()
    }

    /// Returns the engines that serve a version of a model.
    pub fn engines<'a>(
        &'a self,
        model: &'a Model,
        version: &'a Version,
    ) -> impl Iterator<Item = (&'a Target, &'a Item)> {
        self.iter().filter(move |(_, item)| {
            item.version == *version && matches!(&item.role, Role::Engine { model: served, .. } if served == model)
        })
    }

    /// Returns the instances of a plain service.
    pub fn instances<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = (&'a Target, &'a Item)> {
        self.iter()
            .filter(move |(_, item)| matches!(&item.role, Role::Service { service: served, .. } if served == service))
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
