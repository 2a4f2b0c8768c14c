//! Which version serves a new request, and what is observed of it.

use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::id::{Account, Model, Request, Target, Version};
use linkme::distributed_slice;

use crate::configuration::Current;
use crate::error::Result;
use crate::kernel::Context;
use crate::plugin::{PLUGINS, Plugin, Stage};

/// Chooses versions and keeps the evidence for rollouts.
#[derive(Debug)]
pub struct Rollouts {
    context: Rc<Context>,
}

/// Where an observation was made.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'a> {
    /// The account of the request; accounts and models make up the routes that are judged one by one.
    pub account: &'a Account,
    /// The model.
    pub model: &'a Model,
    /// The version that served.
    pub version: &'a Version,
    /// The target that served.
    pub target: &'a Target,
}

/// What was observed of one attempt at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The attempt was sent.
    Started,
    /// The first token came after this time.
    FirstToken(Duration),
    /// A further token came this long after the one before it.
    Gap(Duration),
    /// The target could not be reached, fell silent or broke the connection.
    Lost,
    /// The target answered with an error.
    Failed,
    /// The answer is whole.
    Finished,
}

impl Rollouts {
    /// Returns the version that serves a new request for a model, if the model is known.
    pub fn version(&self, model: &Model, _request: Request) -> Option<Version> {
        let document = self.context.part::<Current>().document();
        document.rules.models.get(model).map(|rule| rule.version.clone())
    }

    /// Records an observation.
    pub fn observe(&self, origin: Origin<'_>, observation: Observation) {
        log::trace!("{origin:?}: {observation:?}");
    }
}

#[distributed_slice(PLUGINS)]
static ROLLOUTS: Plugin = Plugin {
    name: "rollouts",
    stage: Stage::Fleet,
    start,
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    context.provide(Rc::new(Rollouts {
        context: Rc::clone(context),
    }));
    Ok(())
}
