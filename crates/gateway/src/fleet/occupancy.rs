//! The work and the state of the targets of a service.

use hawthornpost_core::clock::Instant;

use crate::availability::Availability;
use crate::member::Member;
use crate::scaling::Occupancy;
use crate::scaling::occupancy::Condition;

use super::Fleet;

impl Fleet {
    /// Returns the targets of a service with the load from all hosts. Entries of replaced incarnations are left out.
    pub fn occupancies(&self, now: Instant, service: &str) -> Vec<Occupancy> {
        let members = self.members.values();
        let members = members.filter(|member| member.target.service == service && !member.state.is_replaced());
        let occupancies = members.map(|member| {
            let mut load = member.own_load;
            load.add(member.peer_load);
            Occupancy {
                data_centre: member.target.data_centre.clone(),
                load,
                slots: member.target.slots,
                condition: self.condition(now, member),
            }
        });
        occupancies.collect()
    }

    fn condition(&self, now: Instant, member: &Member) -> Condition {
        match self.member_availability(now, member) {
            Availability::Gone => Condition::Leaving,
            Availability::Suspect(_) | Availability::Paused(_) => Condition::Troubled,
            Availability::Available if member.lapsed_until.is_some() || member.state.is_avoided(now) => {
                Condition::Troubled
            }
            // A target without room for another connection works as well as before.
            Availability::Available | Availability::Full => Condition::Ready,
        }
    }
}
