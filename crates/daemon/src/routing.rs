//! Choice of the target for a request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use hawthornpost_core::id::{Model, Service, Target, Version};
use hawthornpost_core::inventory::Item;
use linkme::distributed_slice;
use serde_json::json;

use crate::configuration::Current;
use crate::error::Result;
use crate::kernel::Context;
use crate::plugin::{PLUGINS, Plugin, Stage};

/// Chooses targets and counts the requests that this daemon has at each.
#[derive(Debug)]
pub struct Routing {
    context: Rc<Context>,
    outstanding: Rc<RefCell<HashMap<Target, usize>>>,
}

/// A chosen target; dropping it takes the request off the target's count.
#[derive(Debug)]
pub struct Choice {
    /// The name of the target.
    pub target: Target,
    /// The address of the target.
    pub address: SocketAddr,
    outstanding: Rc<RefCell<HashMap<Target, usize>>>,
}

impl Routing {
    /// Chooses an engine for a model and version, other than those in `tried`.
    pub fn engine(&self, model: &Model, version: &Version, tried: &[Target]) -> Option<Choice> {
        let document = self.context.part::<Current>().document();
        self.least_loaded(document.inventory.engines(model, version), tried)
    }

    /// Chooses an instance of a plain service, other than those in `tried`.
    pub fn instance(&self, service: &Service, tried: &[Target]) -> Option<Choice> {
        let document = self.context.part::<Current>().document();
        self.least_loaded(document.inventory.instances(service), tried)
    }

    fn least_loaded<'a>(
        &self,
        items: impl Iterator<Item = (&'a Target, &'a Item)>,
        tried: &[Target],
    ) -> Option<Choice> {
        let load = |name: &Target| self.outstanding.borrow().get(name).copied().unwrap_or(0);
        let (name, item) = items
            .filter(|(name, _)| !tried.contains(name))
            .min_by_key(|(name, _)| load(name))?;
        *self.outstanding.borrow_mut().entry(name.clone()).or_default() += 1;
        Some(Choice {
            target: name.clone(),
            address: item.address,
            outstanding: Rc::clone(&self.outstanding),
        })
    }
}

impl Drop for Choice {
    fn drop(&mut self) {
        let mut outstanding = self.outstanding.borrow_mut();
        if let Some(count) = outstanding.get_mut(&self.target) {
            *count -= 1;
        }
    }
}

#[distributed_slice(PLUGINS)]
static ROUTING: Plugin = Plugin {
    name: "routing",
    stage: Stage::Work,
    start,
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    let outstanding = Rc::<RefCell<HashMap<Target, usize>>>::default();
    let dumped = Rc::clone(&outstanding);
    context.on_dump("routing", move || {
        let counts = dumped.borrow();
        json!(
            counts
                .iter()
                .map(|(name, count)| (name.to_string(), *count))
                .collect::<HashMap<_, _>>()
        )
    });
    context.provide(Rc::new(Routing {
        context: Rc::clone(context),
        outstanding,
    }));
    Ok(())
}
