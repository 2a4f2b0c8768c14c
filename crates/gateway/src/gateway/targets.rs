//! What this host learns of targets and tells the other hosts.

use std::rc::Rc;
use std::time::Duration;

use crate::departures::Departure;
use crate::dialect::Pause;
use crate::duration::millis;
use crate::event::Event;
use crate::successor::{self, Replacement};
use crate::target::Target;

use super::Gateway;

/// The longest pause that a target gets. A value beyond it is more likely an error than a wish.
const MAX_PAUSE: Duration = Duration::from_secs(600);
/// The time over which refused callers return after the pause of all targets.
const RETURN_SPREAD: Duration = Duration::from_secs(1);
/// How long a replaced target is kept for a successor lookup, in case the store turns out to be unreachable.
const REPLACED_TTL: Duration = Duration::from_secs(5);

impl Gateway {
    /// Marks a target as suspected and reports it to the other hosts.
    pub(crate) fn suspect(&self, target: &Target, reason: &str) {
        let was_usable = self.fleet.borrow().is_usable(self.now(), &target.id);
        let whole_data_centre = self.fleet.borrow_mut().suspect(self.now(), &target.id);
        self.connections.remove(&target.id);
        if was_usable {
            self.peers.broadcast_suspect(&target.id);
        }
        Event::TargetSuspected {
            target: &target.id,
            data_centre: &target.data_centre,
            whole_data_centre,
            reason,
            what: "a target failed and gets no new requests for a limited time",
        }
        .log();
    }

    /// Records that a target announced that it is leaving, and tells the other hosts.
    pub(crate) fn record_leaving(&self, departure: &Departure) {
        if self.add_departure(departure, "target") {
            self.peers.broadcast_leaving(departure);
        }
    }

    /// Records that an incarnation is leaving; returns whether that is new.
    pub(crate) fn add_departure(&self, departure: &Departure, source: &str) -> bool {
        let is_new = self.fleet.borrow_mut().record_departure(self.now(), departure);
        if is_new {
            Event::TargetLeaving {
                target: &departure.id,
                source,
                what: "a target is leaving and gets no new requests",
            }
            .log();
        }
        is_new
    }

    /// Pauses work for an overloaded target that asked for it.
    pub(crate) fn record_pause(&self, target: &Target, pause: &Pause) {
        let (pause, asked) = match pause {
            Pause::For(pause) => ((*pause).min(MAX_PAUSE), pause.as_secs_f64().to_string()),
            Pause::Invalid(value) => (Duration::ZERO, value.clone()),
        };
        self.fleet.borrow_mut().pause(&target.id, self.now() + pause);
        Event::TargetPaused {
            target: &target.id,
            pause_ms: millis(pause),
            asked: &asked,
            what: "an overloaded target asked for a pause and gets no requests until its end",
        }
        .log();
    }

    /// Returns the `Retry-After` of a refused request: when all targets of the service have asked for a pause, the time
    /// until the first of them works again, spread over some time, and else `default`.
    pub(crate) fn retry_after(&self, service: &str, default: Duration) -> Duration {
        let now = self.now();
        let until = self.fleet.borrow().paused_until(now, service);
        until.map_or(default, |until| {
            until.since(now) + RETURN_SPREAD.mul_f64(rand::random())
        })
    }

    /// Records that another incarnation responds at a target's address. Looks the incarnation up directly while the store
    /// is unreachable.
    pub(crate) fn record_replaced(self: &Rc<Self>, target: &Rc<Target>, instance: Option<&str>) {
        self.fleet.borrow_mut().mark_replaced(&target.id);
        self.peers.broadcast_replaced(&target.id, None);
        Event::TargetReplaced {
            target: &target.id,
            successor: instance.unwrap_or_default(),
            what: "another incarnation responds at the target's address",
        }
        .log();
        let Some(instance) = instance else {
            return;
        };
        if self.is_store_unreachable.get() {
            successor::verify(self, target, instance);
            return;
        }
        // The store lists the new incarnation within a second, unless it has just become unreachable.
        let now = self.now();
        let mut replaced = self.replaced.borrow_mut();
        replaced.retain(|known| now.since(known.at) < REPLACED_TTL);
        replaced.push(Replacement {
            target: Rc::clone(target),
            instance: instance.to_owned(),
            at: now,
        });
    }

    /// Records whether the store is unreachable for this host and its live peers. While it is, successors of replaced
    /// targets are looked up directly.
    pub(crate) fn set_store_unreachable(self: &Rc<Self>, is_unreachable: bool) {
        if self.is_store_unreachable.replace(is_unreachable) || !is_unreachable {
            return;
        }
        for replaced in self.replaced.take() {
            successor::verify(self, &replaced.target, &replaced.instance);
        }
    }
}
