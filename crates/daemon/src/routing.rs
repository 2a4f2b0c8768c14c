//! Choice of the target for a request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::id::{Account, Model, Service, Target, Version};
use hawthornpost_core::inventory::Item;
use linkme::distributed_slice;
use serde_json::json;

use crate::configuration::Current;
use crate::error::{Error, Result};
use crate::kernel::Context;
use crate::plugin::{PLUGINS, Plugin, Stage};
use crate::rollouts::Rollouts;

/// When a caller should come back after no target was left.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What an engine is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The account of the request.
    pub account: &'a Account,
    /// The model.
    pub model: &'a Model,
    /// The version that the request is pinned to.
    pub version: &'a Version,
    /// The prompt.
    pub prompt: &'a str,
    /// The tokens that were generated already and have to be computed again.
    pub resumed_tokens: u32,
    /// The largest number of tokens of the answer.
    pub max_tokens: u32,
    /// The priority from 0 to 9.
    pub priority: u8,
    /// The engines that are not to be chosen again.
    pub tried: &'a [Target],
}

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
    /// Chooses an engine and charges the request to it.
    ///
    /// # Errors
    ///
    /// Fails with a time to retry when no engine of the version has room, and without one when none is left.
    pub fn engine(&self, query: &Query<'_>) -> Result<Choice> {
        let document = self.context.part::<Current>().document();
        let rollouts = self.context.part::<Rollouts>();
        let engines = document.inventory.engines(query.model, query.version);
        let engines = engines.filter(|(target, _)| rollouts.is_in_use(query.model, query.version, target));
        self.least_loaded(engines, query.tried).ok_or_else(|| no_engine(query))
    }

    /// Chooses an instance of a plain service, other than those in `tried`.
    ///
    /// # Errors
    ///
    /// Fails with a time to retry when no instance is left.
    pub fn instance(&self, service: &Service, tried: &[Target]) -> Result<Choice> {
        let document = self.context.part::<Current>().document();
        self.least_loaded(document.inventory.instances(service), tried)
            .ok_or_else(|| Error::unavailable(format!("no target of {service} is left"), RETRY_AFTER))
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

fn no_engine(query: &Query<'_>) -> Error {
    let detail = format!("no engine of {} {} is left", query.model, query.version);
    Error::unavailable(detail, RETRY_AFTER)
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
