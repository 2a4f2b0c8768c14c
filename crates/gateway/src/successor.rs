//! Restarted engines that the store cannot list yet because it is unavailable.
//!
//! A restarted target names its own incarnation in the response to a request for the old one. It gets work if it is an
//! engine and only one service has engines, because then it belongs to that service. An address can pass to a server of
//! another service.

use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::call::{Bounds, Call};
use crate::event::Event;
use crate::gateway::Gateway;
use crate::target::Target;

/// The bounds of the call that reads an engine's state.
const STATE_CALL_BOUNDS: Bounds = Bounds {
    connect_timeout: Duration::from_millis(400),
    total_timeout: Duration::from_millis(400),
    max_bytes: 256 << 10,
};

/// A target whose address is in use by another incarnation.
#[derive(Debug)]
pub(crate) struct Replacement {
    pub target: Rc<Target>,
    /// The id of the other incarnation.
    pub instance: String,
    /// When the other incarnation responded.
    pub at: Instant,
}

/// Checks whether the new incarnation of a target is an engine of the same service, and adds it if so.
pub(crate) fn verify(gateway: &Rc<Gateway>, previous: &Rc<Target>, instance: &str) {
    if gateway.table().only_engine_service() != Some(previous.service.as_str()) {
        return;
    }
    if gateway.fleet().borrow().get(instance).is_some() {
        return;
    }
    let successor = Target {
        id: instance.to_owned(),
        is_leaving: false,
        started: None,
        ..(**previous).clone()
    };
    let (gateway, previous) = (Rc::clone(gateway), Rc::clone(previous));
    tokio::task::spawn_local(async move {
        if is_engine(&gateway, &successor).await {
            gateway
                .peers()
                .broadcast_replaced(&previous.id, Some(successor.clone()));
            add(&gateway, successor, &previous.id);
        }
    });
}

/// Adds an engine that the store does not list yet.
pub(crate) fn add(gateway: &Gateway, successor: Target, previous: &str) {
    let (id, address) = (successor.id.clone(), successor.address.to_string());
    if !gateway.fleet().borrow_mut().put_unlisted(gateway.now(), successor) {
        return;
    }
    Event::SuccessorFound {
        target: &id,
        address: &address,
        before: previous,
        what: "an engine that the store does not list yet gets work",
    }
    .log();
}

async fn is_engine(gateway: &Gateway, target: &Target) -> bool {
    let call = Call::get(target.address, gateway.dialect().engine_state_path());
    let response = call.run(gateway.timer(), STATE_CALL_BOUNDS).await;
    let memory = response
        .ok()
        .and_then(|body| gateway.dialect().decode_engine_memory(&body));
    let engine = gateway.table().engine(&target.service);
    memory.is_some() && memory == engine.map(|engine| engine.memory_tokens)
}
