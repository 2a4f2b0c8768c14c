//! The known targets with their load and recent failures, and load balancing among them.

mod choice;
mod forecast;
mod loads;
mod occupancy;
mod usability;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::availability::State;
use crate::departures::Departures;
use crate::load::Load;
use crate::member::Member;
use crate::peer_loads;
use crate::speed::{Pace, Speed};
use crate::target::Target;
use crate::versions::Versions;

pub use forecast::Forecast;

/// Failures of two targets of a data centre within this time mark the whole data centre as suspect.
const DATA_CENTRE_FAILURE_WINDOW: Duration = Duration::from_millis(400);
/// How long a data centre is avoided after failures of several of its targets.
const DATA_CENTRE_SUSPECT_DURATION: Duration = Duration::from_millis(1200);
/// How long a removed target is remembered. A server that leaves ends within this time.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);
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
    /// The speed of engines by service.
    speeds: HashMap<String, Speed>,
    /// This host's share of the connections that a target accepts, by service.
    connection_shares: HashMap<String, u32>,
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
            speeds: HashMap::new(),
            connection_shares: HashMap::new(),
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
            pace: Pace::default(),
            state,
            connections: Rc::default(),
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

    /// Returns whether a target is kept although its store entry lapsed.
    pub fn is_lapsed(&self, id: &str) -> bool {
        let member = self.members.get(id);
        member.is_some_and(|member| member.lapsed_until.is_some())
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

    /// Stores the load report of a target.
    pub fn record_report(&mut self, now: Instant, id: &str, report: Report) {
        if let Some(member) = self.members.get_mut(id) {
            member.report = Some((now, report, member.own_load.calls));
        }
    }

    /// Returns the latest load report of a target.
    pub fn latest_report(&self, id: &str) -> Option<Report> {
        self.members.get(id)?.report.map(|(_, report, _)| report)
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

    /// Returns the versions of a service's targets.
    pub fn versions_of(&self, service: &str) -> BTreeSet<String> {
        let targets = self.targets().filter(|target| target.service == service);
        targets.map(|target| target.version.clone()).collect()
    }
}
