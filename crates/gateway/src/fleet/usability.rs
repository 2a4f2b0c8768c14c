//! Whether targets may take work.

use std::collections::HashMap;
use std::rc::Rc;

use hawthornpost_core::clock::Instant;

use crate::availability::Availability;
use crate::connections::Count;
use crate::departures::Departure;
use crate::member::Member;
use crate::target::Target;

use super::Fleet;

impl Fleet {
    /// Returns whether a target may take over a stream of which it holds a copy.
    pub fn is_usable(&self, now: Instant, id: &str) -> bool {
        let member = self.members.get(id);
        member.is_some_and(|member| {
            let availability = member
                .state
                .availability(now, member.target.is_leaving, Instant::ZERO, true);
            availability == Availability::Available
        })
    }

    /// Returns whether a target may take new work; `None` if it is unknown.
    pub fn availability(&self, now: Instant, id: &str) -> Option<Availability> {
        self.members.get(id).map(|member| self.member_availability(now, member))
    }

    pub(super) fn member_availability(&self, now: Instant, member: &Member) -> Availability {
        let suspect_until = self.data_centre_suspect_until(&member.target);
        let share = self.connection_shares.get(&member.target.service).copied();
        let has_room = member.connections.has_room(share);
        member
            .state
            .availability(now, member.target.is_leaving, suspect_until, has_room)
    }

    pub(super) fn data_centre_suspect_until(&self, target: &Target) -> Instant {
        let mut data_centres = self.suspect_data_centres.iter();
        let suspected = data_centres
            .find(|((service, data_centre), _)| *service == target.service && *data_centre == target.data_centre);
        suspected.map_or(Instant::ZERO, |(_, until)| *until)
    }

    /// Returns when the first target of a service takes work again, if all that are left have asked for a pause.
    pub fn paused_until(&self, now: Instant, service: &str) -> Option<Instant> {
        let members = self.members.values();
        let mut first = None;
        for member in members.filter(|member| member.target.service == service) {
            match self.member_availability(now, member) {
                Availability::Gone => {}
                Availability::Paused(until) => first = Some(first.map_or(until, |first: Instant| first.min(until))),
                Availability::Available | Availability::Full | Availability::Suspect(_) => return None,
            }
        }
        first
    }

    /// Replaces this host's shares of the connections that a target accepts, by service.
    pub fn set_connection_shares(&mut self, shares: HashMap<String, u32>) {
        self.connection_shares = shares;
    }

    /// Returns this host's share of the connections of a target of a service; `None` if their number is not known.
    pub fn connection_share(&self, service: &str) -> Option<u32> {
        self.connection_shares.get(service).copied()
    }

    /// Returns the count of this host's connections to a target.
    pub fn connections(&self, id: &str) -> Option<Rc<Count>> {
        self.members.get(id).map(|member| Rc::clone(&member.connections))
    }

    /// Pauses new work for a target that asked for it.
    pub fn pause(&mut self, id: &str, until: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.state.pause(until);
        }
    }

    /// Records that a target refused a request without asking for a pause.
    pub fn record_refusal(&mut self, now: Instant, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.state.record_refusal(now);
        }
    }

    /// Records that a target ran a request.
    pub fn record_response(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.state.record_response();
        }
    }

    /// Records that an incarnation is leaving, also one that is not known yet. Returns whether that is new.
    pub fn record_departure(&mut self, now: Instant, departure: &Departure) -> bool {
        let is_new = self.departures.add(now, departure);
        if let Some(member) = self.members.get_mut(&departure.id)
            && departure.includes(&member.target)
        {
            Rc::make_mut(&mut member.target).is_leaving = true;
        }
        is_new
    }

    /// Returns the incarnations that have announced in the last seconds that they are leaving.
    pub fn recent_departures(&self, now: Instant) -> Vec<Departure> {
        self.departures.recent(now)
    }

    /// Returns the incarnations that have announced that they are leaving.
    pub fn departures(&self) -> impl Iterator<Item = &Departure> {
        self.departures.iter()
    }
}
