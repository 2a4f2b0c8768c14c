//! The hosts that watch the platform's store.

use hawthornpost_core::membership::Member;

use crate::feed::{self, Candidate};
use crate::usage::outbox::Receiver;

use super::Peers;

impl Peers {
    /// Returns whether this host is one of the hosts that watch the store.
    pub fn is_watcher(&self) -> bool {
        self.watchers().iter().any(|member| member.name == self.name)
    }

    /// Returns the other chosen watchers, which are candidates for the duties. Deputies are left out, because a deputy that
    /// holds the lease asks all hosts for their totals.
    pub(crate) fn duty_candidates(&self) -> Vec<Receiver> {
        let watchers = self.watchers().into_iter();
        let others = watchers.filter(|member| member.name != self.name);
        let receivers = others.map(|member| Receiver {
            address: member.peer_address,
            incarnation: member.incarnation,
        });
        receivers.collect()
    }

    fn watchers(&self) -> Vec<Member> {
        let table = self.table.borrow();
        let live = table.live();
        let available = live.iter().filter(|member| !member.draining);
        let candidates = available.map(|member| Candidate {
            entry: &member.name,
            data_centre: &member.data_centre,
        });
        let candidates = candidates.collect::<Vec<_>>();
        let names = feed::watchers(&candidates);
        let watchers = live.iter().filter(|member| names.contains(&&member.name));
        watchers.map(|member| Member::clone(member)).collect()
    }
}
