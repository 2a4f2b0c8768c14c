//! The choice of a target for a call, a stream or a backup.

use std::rc::Rc;

use hawthornpost_core::clock::Instant;
use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::availability::Availability;
use crate::member::{FULL_MEMORY_PENALTY_MS, Member};
use crate::target::Target;

use super::{Criteria, Fleet, Need};

/// The maximum random addition to the cost of a call, as a multiple of a target's slots.
const MAX_CALL_JITTER: f64 = 0.05;
/// The number of random engines from which the cheapest is chosen for a stream when there are many peers. The cheapest
/// of all engines would get the streams of every host that chooses before it receives the reports of the others.
const STREAM_SAMPLE_SIZE: usize = 4;
/// The number of peers from which engines are sampled. With fewer peers, each host knows most of their load, and the
/// cheapest of all engines is chosen.
const MIN_PEERS_FOR_SAMPLING: usize = 16;
/// The maximum random addition to the cost of a stream, in milliseconds of prefill.
const MAX_STREAM_JITTER_MS: f64 = 200.0;

impl Fleet {
    /// Chooses a target for a call by its load per slot and its failure rate.
    pub fn choose_call(&mut self, now: Instant, criteria: Criteria<'_>) -> Option<Rc<Target>> {
        self.choose(now, criteria, usize::MAX, MAX_CALL_JITTER, |member| {
            member.call_cost(now)
        })
    }

    /// Chooses the engine for a stream at which the estimated time to prefill the prompt is shortest.
    pub fn choose_stream(&mut self, now: Instant, criteria: Criteria<'_>, need: Need) -> Option<Rc<Target>> {
        let sample_size = self.stream_sample_size();
        let speed = self.speed(criteria.service);
        self.choose(now, criteria, sample_size, MAX_STREAM_JITTER_MS, |member| {
            member.stream_cost(speed, need)
        })
    }

    fn stream_sample_size(&self) -> usize {
        if self.peer_loads.len() < MIN_PEERS_FOR_SAMPLING {
            usize::MAX
        } else {
            STREAM_SAMPLE_SIZE
        }
    }

    /// Chooses an engine in another data centre for the backup of a stream.
    pub fn choose_backup(
        &mut self,
        now: Instant,
        primary: &Target,
        criteria: Criteria<'_>,
        need: Need,
    ) -> Option<Rc<Target>> {
        let speed = self.speed(criteria.service);
        let cost = |member: &Member| {
            if member.target.data_centre == primary.data_centre || member.target.id == primary.id {
                return f64::INFINITY;
            }
            member.backup_cost(speed, need)
        };
        let sample_size = self.stream_sample_size();
        self.choose(now, criteria, sample_size, MAX_STREAM_JITTER_MS, cost)
    }

    fn choose(
        &mut self,
        now: Instant,
        criteria: Criteria<'_>,
        sample_size: usize,
        jitter: f64,
        cost: impl Fn(&Member) -> f64,
    ) -> Option<Rc<Target>> {
        let available = self.members.values().filter_map(|member| {
            let availability = self.member_availability(now, member);
            let is_suspect = matches!(availability, Availability::Suspect(_));
            let may_work = is_suspect || availability == Availability::Available;
            (may_work && member.meets(criteria)).then_some((member, is_suspect))
        });
        let eligible = available.collect::<Vec<_>>();
        let filter = criteria
            .versions
            .filter(eligible.iter().map(|(member, _)| &*member.target));
        let admitted = eligible.iter().filter(|(member, _)| filter.admits(&member.target));
        let costs = admitted.map(|(member, is_suspect)| (cost(member), *is_suspect, *member));
        let costs = costs.filter(|(cost, ..)| cost.is_finite());
        let admitted_share = self.random.random::<f64>();
        let tiers = costs.map(|(cost, is_suspect, member)| {
            let is_full = cost >= FULL_MEMORY_PENALTY_MS;
            let is_returning = member.state.share(now) < admitted_share;
            let is_avoided = member.state.is_avoided(now) || is_returning;
            ((is_suspect, is_full, is_avoided), cost, member)
        });
        let mut candidates = tiers.collect::<Vec<_>>();
        // Suspect targets, full engines, and those that refuse or return from a pause are only used when there are no others.
        let best = candidates.iter().map(|(tier, ..)| *tier).min();
        candidates.retain(|(tier, ..)| Some(*tier) == best);
        // The random addition makes hosts that choose at the same time, as after a crash, choose different targets of
        // similar cost.
        let costs = candidates
            .sample(&mut self.random, sample_size)
            .map(|(_, cost, member)| (cost + self.random.random::<f64>() * jitter, member));
        let best = costs.min_by(|(one, _), (other, _)| one.total_cmp(other));
        best.map(|(_, member)| Rc::clone(&member.target))
    }
}
