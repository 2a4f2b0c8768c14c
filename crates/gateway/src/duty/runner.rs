//! Keeps the lease of the duties.

use std::rc::Rc;

use crate::gateway::Gateway;
use crate::platform::Platform;

/// Starts the task.
pub(crate) fn start<P: Platform>(_gateway: &Rc<Gateway>, _platform: &Rc<P>) {}
