//! Plug-ins that register themselves.

use std::rc::Rc;

use linkme::distributed_slice;

use crate::error::Result;
use crate::kernel::Context;

/// All plug-ins; modules add themselves.
#[distributed_slice]
pub static PLUGINS: [Plugin];

/// A part of the daemon that the kernel starts.
#[derive(Clone, Copy, Debug)]
pub struct Plugin {
    /// The name, also the key of its part of the state dump.
    pub name: &'static str,
    /// When the plug-in starts.
    pub stage: Stage,
    /// Creates the plug-in's state, provides it to others and starts its tasks.
    pub start: fn(&Rc<Context>) -> Result<()>,
}

/// When a plug-in starts; a stage may use what earlier stages provide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Clients of other systems.
    Edge,
    /// What entry hosts share: configuration, membership, rollouts.
    Fleet,
    /// What requests need: limits, routing, generations, actions.
    Work,
    /// Servers, which start last.
    Server,
}

/// Starts all plug-ins, stage by stage.
///
/// # Errors
///
/// Fails with the first plug-in that cannot start.
pub fn start_all(context: &Rc<Context>) -> Result<()> {
    let mut plugins = PLUGINS.iter().collect::<Vec<_>>();
    plugins.sort_by_key(|plugin| (plugin.stage, plugin.name));
    for plugin in plugins {
        log::debug!("starting plug-in {}", plugin.name);
        (plugin.start)(context)?;
    }
    Ok(())
}
