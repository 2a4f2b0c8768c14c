//! Registry of plug-ins; each module registers its own at link time.

use std::rc::Rc;

use linkme::distributed_slice;

use crate::error::Result;
use crate::kernel::Context;

/// All registered plug-ins.
#[distributed_slice]
pub static PLUGINS: [Plugin];

/// A part of the daemon that the kernel starts.
#[derive(Clone, Copy, Debug)]
pub struct Plugin {
    /// The name, used in the log and to order the plug-ins of a stage.
    pub name: &'static str,
    /// The stage in which the plug-in starts.
    pub stage: Stage,
    /// Creates the plug-in's state, provides it to other plug-ins and spawns its tasks.
    pub start: fn(&Rc<Context>) -> Result<()>,
}

/// The start order of plug-ins; a stage may use the components of earlier stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Clients of other systems and the metrics recorder.
    Infrastructure,
    /// State shared between entry hosts: configuration, membership, rollouts.
    Cluster,
    /// Request processing: limits, routing, generations, actions.
    Processing,
    /// Servers, which start last.
    Server,
}

/// Starts all plug-ins in the order of their stages.
///
/// # Errors
///
/// Returns the error of the first plug-in that cannot start.
pub fn start_all(context: &Rc<Context>) -> Result<()> {
    let mut plugins = PLUGINS.iter().collect::<Vec<_>>();
    plugins.sort_by_key(|plugin| (plugin.stage, plugin.name));
    for plugin in plugins {
        log::debug!("starting plug-in {}", plugin.name);
        (plugin.start)(context)?;
    }
    Ok(())
}
