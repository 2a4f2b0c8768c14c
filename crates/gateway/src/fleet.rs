//! The known targets with their load and recent failures, and load balancing among them.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::availability::{Availability, State};
use crate::departures::{Departure, Departures};
use crate::load::Load;
use crate::member::{FULL_MEMORY_PENALTY_MS, Member};
use crate::peer_loads::{self, Change};
use crate::target::Target;
use crate::versions::Versions;

/// Failures of two targets of a data centre within this time mark the whole data centre as suspect.
const DATA_CENTRE_FAILURE_WINDOW: Duration = Duration::from_millis(400);
/// How long a data centre is avoided after failures of several of its targets.
const DATA_CENTRE_SUSPECT_DURATION: Duration = Duration::from_millis(1200);
/// How long a removed target is remembered. A server that leaves ends within this time.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);
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
/// The weight of the latest outcome in a target's failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.1;

/// The load that a target reported in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// The maximum number of concurrent requests.
    pub slots: u32,
}

/// The criteria that a target has to meet.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a str,
    /// The versions that may take the request.
    pub versions: &'a Versions,
    /// The ids of targets that are not eligible.
    pub excluded: &'a [String],
}

/// The resources that a stream needs at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens in memory at the end of the stream.
    pub memory_tokens: u64,
    /// The memory of an engine, in tokens.
    pub capacity: u64,
}

/// The known targets of an entry host.
#[derive(Debug)]
pub struct Fleet {
    members: BTreeMap<String, Member>,
    /// The times and ids of recently failed targets, by service and data centre.
    recent_failures: HashMap<(String, String), VecDeque<(Instant, String)>>,
    /// The end of the suspicion of data centres, by service and data centre.
    suspect_data_centres: HashMap<(String, String), Instant>,
    peer_loads: peer_loads::Table,
    /// Removed targets with the time of their removal. What peers still announce about them is outdated.
    removed: HashMap<String, Instant>,
    departures: Departures,
    random: SmallRng,
}

impl Fleet {
    /// Creates an empty fleet with the seed for random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            members: BTreeMap::new(),
            recent_failures: HashMap::new(),
            suspect_data_centres: HashMap::new(),
            peer_loads: peer_loads::Table::default(),
            removed: HashMap::new(),
            departures: Departures::default(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Adds or updates a target. Another incarnation of a known target starts without load and failures.
    pub fn put(&mut self, mut target: Target) {
        self.removed.remove(&target.id);
        target.is_leaving |= self.departures.includes(&target);
        if let Some(member) = self.members.get_mut(&target.id)
            && member.target.is_same_incarnation(&target)
        {
            target.is_leaving |= member.target.is_leaving;
            member.target = Rc::new(target);
            member.unlisted_since = None;
            member.lapsed_until = None;
            return;
        }
        let peer_load = self.peer_loads.total(&target.id);
        let mut state = State::default();
        if self.resolve_address_conflict(&target) {
            state.replace();
        }
        let member = Member {
            peer_load,
            own_load: Load::default(),
            report: None,
            failure_rate: 0.0,
            state,
            unlisted_since: None,
            lapsed_until: None,
            target: Rc::new(target),
        };
        self.members.insert(member.target.id.clone(), member);
    }

    /// Marks targets as replaced if the given one started later at the same address, and returns whether a known target
    /// started later than the given one. A restarted server registers under another id, and its old entry remains for
    /// some heartbeats.
    fn resolve_address_conflict(&mut self, target: &Target) -> bool {
        let mut is_replaced = false;
        for member in self.members.values_mut() {
            let known = &member.target;
            if known.address != target.address || known.id == target.id {
                continue;
            }
            match (known.started, target.started) {
                (Some(before), Some(after)) if before < after => member.state.replace(),
                (Some(before), Some(after)) if before > after => is_replaced = true,
                _ => {}
            }
        }
        is_replaced
    }

    /// Adds a target that the store does not list yet, unless it is known or was removed. Returns whether it was added.
    pub fn put_unlisted(&mut self, now: Instant, target: Target) -> bool {
        if self.members.contains_key(&target.id) || self.removed.contains_key(&target.id) {
            return false;
        }
        let id = target.id.clone();
        self.put(target);
        if let Some(member) = self.members.get_mut(&id) {
            member.unlisted_since = Some(now);
        }
        true
    }

    /// Keeps a target until `until` although its store entry is removed, because the entry may have lapsed in a store
    /// outage.
    pub fn keep_lapsed(&mut self, id: &str, until: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.lapsed_until.get_or_insert(until);
        }
    }

    /// Returns whether any target is kept although its store entry lapsed.
    pub fn has_lapsed(&self) -> bool {
        self.members.values().any(|member| member.lapsed_until.is_some())
    }

    /// Returns the targets whose lapsed entries have not come back in time.
    pub fn overdue_lapsed(&self, now: Instant) -> Vec<Rc<Target>> {
        let members = self.members.values();
        let overdue = members.filter(|member| member.lapsed_until.is_some_and(|until| until <= now));
        overdue.map(|member| Rc::clone(&member.target)).collect()
    }

    /// Returns the targets that the store lists, for hosts that lack them. A host that received other targets would
    /// keep them forever, because the store does not report their removal again.
    pub fn listed(&self) -> impl Iterator<Item = &Rc<Target>> {
        let members = self.members.values();
        let listed = members.filter(|member| member.unlisted_since.is_none() && member.lapsed_until.is_none());
        listed.map(|member| &member.target)
    }

    /// Returns the targets that were added before `limit` and are still not listed in the store.
    pub fn unlisted_before(&self, limit: Instant) -> Vec<Rc<Target>> {
        let members = self.members.values();
        let old = members.filter(|member| member.unlisted_since.is_some_and(|since| since < limit));
        old.map(|member| Rc::clone(&member.target)).collect()
    }

    /// Returns the prompt tokens waiting for prefill at a target, for all hosts.
    pub fn prefill_tokens(&self, id: &str) -> u64 {
        let member = self.members.get(id);
        member.map_or(0, |member| {
            member
                .own_load
                .prefill_tokens
                .saturating_add(member.peer_load.prefill_tokens)
        })
    }

    /// Returns whether a target may take over a stream of which it holds a copy.
    pub fn is_usable(&self, now: Instant, id: &str) -> bool {
        let member = self.members.get(id);
        member.is_some_and(|member| {
            let availability = member.state.availability(now, member.target.is_leaving, Instant::ZERO);
            availability == Availability::Available
        })
    }

    /// Returns whether a target may take new work; `None` if it is unknown.
    pub fn availability(&self, now: Instant, id: &str) -> Option<Availability> {
        self.members.get(id).map(|member| self.member_availability(now, member))
    }

    fn member_availability(&self, now: Instant, member: &Member) -> Availability {
        let suspect_until = self.data_centre_suspect_until(&member.target);
        member.state.availability(now, member.target.is_leaving, suspect_until)
    }

    fn data_centre_suspect_until(&self, target: &Target) -> Instant {
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
                Availability::Available | Availability::Suspect(_) => return None,
            }
        }
        first
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

    /// Removes a target and remembers its id for some time.
    pub fn remove(&mut self, now: Instant, id: &str) {
        self.removed.retain(|_, at| now.since(*at) < REMOVED_RETENTION);
        self.members.remove(id);
        self.removed.insert(id.to_owned(), now);
    }

    /// Returns the target with this id.
    pub fn get(&self, id: &str) -> Option<&Rc<Target>> {
        self.members.get(id).map(|member| &member.target)
    }

    /// Returns all targets in the order of their ids.
    pub fn targets(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.members.values().map(|member| &member.target)
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the load from this host on a target.
    pub fn own_load(&self, id: &str) -> Load {
        self.members.get(id).map_or(Load::default(), |member| member.own_load)
    }

    /// Returns the loads of streams and backups from this host by target.
    pub fn own_loads(&self) -> BTreeMap<String, Load> {
        let loaded = self
            .members
            .iter()
            .filter(|(_, member)| member.own_load.streams > 0 || member.own_load.memory_tokens > 0);
        loaded.map(|(id, member)| (id.clone(), member.own_load)).collect()
    }

    /// Adds load from this host.
    pub fn add_load(&mut self, id: &str, load: Load) {
        if let Some(member) = self.members.get_mut(id) {
            member.own_load.add(load);
        }
    }

    /// Subtracts load from this host.
    pub fn remove_load(&mut self, id: &str, load: Load) {
        if let Some(member) = self.members.get_mut(id) {
            member.own_load.subtract(load);
        }
    }

    /// Merges the load report of a peer, which is incremental: it names the targets where its load has changed and some
    /// others.
    pub fn merge_peer(&mut self, now: Instant, peer: &str, report: &BTreeMap<String, Load>) {
        let changes = self.peer_loads.merge(now, peer, report);
        self.apply_load_changes(changes);
    }

    /// Removes the load of a peer.
    pub fn remove_peer(&mut self, peer: &str) {
        let changes = self.peer_loads.remove(peer);
        self.apply_load_changes(changes);
    }

    /// Removes peers without recent reports, and entries that were not refreshed.
    pub fn expire_peers(&mut self, now: Instant) {
        let changes = self.peer_loads.expire(now);
        self.apply_load_changes(changes);
    }

    fn apply_load_changes(&mut self, changes: Vec<Change>) {
        for change in changes {
            if let Some(member) = self.members.get_mut(&change.target) {
                member.peer_load.subtract(change.before);
                member.peer_load.add(change.after);
            }
        }
    }

    /// Returns the load from peers on a target.
    pub fn peer_load(&self, id: &str) -> Load {
        self.members.get(id).map_or(Load::default(), |member| member.peer_load)
    }

    /// Stores the load report of a target.
    pub fn record_report(&mut self, now: Instant, id: &str, report: Report) {
        if let Some(member) = self.members.get_mut(id) {
            member.report = Some((now, report, member.own_load.calls));
        }
    }

    /// Updates a target's failure rate with the outcome of a call.
    pub fn record_outcome(&mut self, id: &str, failed: bool) {
        if let Some(member) = self.members.get_mut(id) {
            let latest = if failed { 1.0 } else { 0.0 };
            member.failure_rate += FAILURE_RATE_WEIGHT * (latest - member.failure_rate);
        }
    }

    /// Marks a target as suspect after a failure. Returns whether its whole data centre becomes suspect too.
    pub fn suspect(&mut self, now: Instant, id: &str) -> bool {
        let Some(member) = self.members.get_mut(id) else {
            return false;
        };
        member.state.suspect(now);
        let key = (member.target.service.clone(), member.target.data_centre.clone());
        let recent = self.recent_failures.entry(key.clone()).or_default();
        recent.retain(|(at, other)| now.since(*at) <= DATA_CENTRE_FAILURE_WINDOW && other != id);
        recent.push_back((now, id.to_owned()));
        if recent.len() < 2 {
            return false;
        }
        let was_suspect = self
            .suspect_data_centres
            .insert(key, now + DATA_CENTRE_SUSPECT_DURATION);
        was_suspect.is_none_or(|until| until <= now)
    }

    /// Ends the suspicion of a target that responded.
    pub fn clear_suspicion(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.state.clear_suspicion();
        }
    }

    /// Marks a target as replaced because another incarnation responds at its address. It never gets work again; its
    /// store entry remains for some seconds, or for the length of a store outage.
    pub fn mark_replaced(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.state.replace();
        }
    }

    /// Returns whether another incarnation responds at a target's address.
    pub fn is_replaced(&self, id: &str) -> bool {
        self.members.get(id).is_some_and(|member| member.state.is_replaced())
    }

    /// Returns whether a target or its data centre is suspect.
    pub fn is_suspect(&self, now: Instant, id: &str) -> bool {
        self.members.get(id).is_some_and(|member| {
            let data_centre = self.data_centre_suspect_until(&member.target);
            now < member.state.suspect_until().max(data_centre)
        })
    }

    /// Chooses a target for a call by its load per slot and its failure rate.
    pub fn choose_call(&mut self, now: Instant, criteria: Criteria<'_>) -> Option<Rc<Target>> {
        self.choose(now, criteria, usize::MAX, MAX_CALL_JITTER, |member| {
            member.call_cost(now)
        })
    }

    /// Chooses the engine for a stream at which the estimated time to prefill the prompt is shortest.
    pub fn choose_stream(&mut self, now: Instant, criteria: Criteria<'_>, need: Need) -> Option<Rc<Target>> {
        let sample_size = self.stream_sample_size();
        self.choose(now, criteria, sample_size, MAX_STREAM_JITTER_MS, |member| {
            member.stream_cost(need)
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
        let cost = |member: &Member| {
            if member.target.data_centre == primary.data_centre || member.target.id == primary.id {
                return f64::INFINITY;
            }
            member.backup_cost(need)
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

    /// Returns the versions of a service's targets.
    pub fn versions_of(&self, service: &str) -> BTreeSet<String> {
        let targets = self.targets().filter(|target| target.service == service);
        targets.map(|target| target.version.clone()).collect()
    }
}
