//! The member table of one entry.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::clock::Instant;
use crate::id::Entry;
use crate::membership::{Command, Event, Member, Message, Settings, State};

/// The members, the current probe and the updates to disseminate.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    own: Member,
    payload: u64,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<Entry, Record>,
    /// The number of times each update was sent.
    updates: BTreeMap<Entry, u32>,
    round: Vec<Entry>,
    period_count: u64,
    probe: Option<Probe>,
    probe_count: u64,
    next_period: Instant,
    next_sync: Instant,
    random: StdRng,
}

#[derive(Clone, Debug)]
struct Record {
    member: Member,
    since: Instant,
}

#[derive(Clone, Debug)]
struct Probe {
    number: u64,
    member: Option<Entry>,
    relays_at: Option<Instant>,
}

impl Table {
    /// Creates a table that knows only this entry and the addresses of seeds.
    ///
    /// The incarnation of `own` has to be higher than in earlier runs of the entry, which holds for the wall-clock time
    /// at the start in milliseconds.
    pub fn new(own: Member, seeds: Vec<SocketAddr>, settings: Settings, seed: u64) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own.peer_address).collect();
        Self {
            settings,
            own,
            payload: 0,
            seeds,
            members: BTreeMap::new(),
            updates: BTreeMap::new(),
            round: Vec::new(),
            period_count: 0,
            probe: None,
            probe_count: 0,
            next_period: Instant::ZERO,
            next_sync: Instant::ZERO,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns this entry.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the other members, including dead ones.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|record| &record.member)
    }

    /// Returns all live members including this entry, sorted by name.
    pub fn live(&self) -> Vec<&Member> {
        let mut live = self.others().filter(|member| member.is_live()).collect::<Vec<_>>();
        live.push(&self.own);
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Returns the position of this entry among the live members.
    pub fn rank(&self) -> usize {
        let lower = self
            .others()
            .filter(|member| member.is_live() && member.name < self.own.name);
        lower.count()
    }

    /// Returns the member with this name, which may be this entry.
    pub fn get(&self, name: &Entry) -> Option<&Member> {
        if *name == self.own.name {
            return Some(&self.own);
        }
        self.members.get(name).map(|record| &record.member)
    }

    /// Sets the configuration version that this entry has.
    ///
    /// The version is not disseminated as an update, because 14,000 changes per day at 390 members would fill the byte
    /// limit of messages. An entry that waits for a version asks the members that lack it.
    pub fn set_config(&mut self, version: u64) {
        self.own.config = self.own.config.max(version);
    }

    /// Sets the value that identifies this entry's application state; see [`Message::payload`].
    pub fn set_payload(&mut self, payload: u64) {
        self.payload = payload;
    }

    /// Sets the draining flag of this entry, which is disseminated as an update.
    pub fn set_draining(&mut self, draining: bool) {
        if self.own.draining != draining {
            self.own.draining = draining;
            self.raise_incarnation(self.own.incarnation);
        }
    }

    /// Marks this entry as left and returns the message to send to a few members.
    pub fn leave(&mut self) -> Message {
        self.own.state = State::Left;
        self.raise_incarnation(self.own.incarnation);
        self.message_to(None)
    }

    /// Records the version that a member reported.
    pub fn note_config(&mut self, name: &Entry, version: u64) {
        if let Some(record) = self.members.get_mut(name) {
            record.member.config = record.member.config.max(version);
        }
    }

    /// Returns when [`Event::Tick`] is due.
    pub fn deadline(&self) -> Option<Instant> {
        let relays = self.probe.as_ref().and_then(|probe| probe.relays_at);
        Some(relays.map_or(self.next_period, |at| at.min(self.next_period)))
    }

    /// Handles an event and returns the commands to execute.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        match event {
            Event::Answered { probe, message } => {
                self.complete_probe(probe);
                self.apply(now, &message)
            }
            Event::Tick => self.tick(now),
        }
    }

    /// Handles a peer's probe and returns the answer.
    pub fn receive(&mut self, now: Instant, message: &Message) -> (Message, Vec<Command>) {
        let commands = self.apply(now, message);
        (self.message_to(Some(&message.from.name)), commands)
    }

    /// Returns address and message of an indirect probe that a peer requested.
    pub fn relay(&mut self, target: &Entry) -> Option<(SocketAddr, Message)> {
        let address = self.members.get(target)?.member.peer_address;
        Some((address, self.message_to(Some(target))))
    }

    /// Applies the contents of a message.
    pub fn apply(&mut self, now: Instant, message: &Message) -> Vec<Command> {
        let name = &message.from.name;
        let was_live = self.members.get(name).is_some_and(|record| record.member.is_live());
        let mut commands = self.merge(now, std::iter::once(&message.from).chain(&message.updates));
        let is_new = !was_live && *name != self.own.name && message.from.is_live();
        if is_new && self.next_sync <= now {
            self.next_sync = now + self.settings.min_sync_interval;
            commands.push(Command::Sync(message.from.peer_address));
        }
        commands
    }

    /// Returns the full member list for [`Command::Sync`].
    pub fn snapshot(&self) -> Vec<Member> {
        std::iter::once(&self.own).chain(self.others()).cloned().collect()
    }

    /// Merges all or some members from the table of another entry.
    pub fn merge<'a>(&mut self, now: Instant, members: impl IntoIterator<Item = &'a Member>) -> Vec<Command> {
        members
            .into_iter()
            .filter_map(|member| self.merge_one(now, member))
            .collect()
    }

    fn merge_one(&mut self, now: Instant, member: &Member) -> Option<Command> {
        if member.name == self.own.name {
            self.refute(member);
            return None;
        }
        let Some(record) = self.members.get_mut(&member.name) else {
            // An unknown dead member was removed after its retention. Adding it again would disseminate it forever.
            return member.is_live().then(|| self.store(now, member.clone()));
        };
        if member.supersedes(&record.member) {
            let known = record.member.clone();
            let config = if member.incarnation == known.incarnation {
                known.config
            } else {
                0
            };
            let mut member = member.clone();
            member.config = member.config.max(config);
            let changed = (member.state, member.draining) != (known.state, known.draining);
            let command = self.store(now, member);
            return changed.then_some(command);
        }
        if member.incarnation == record.member.incarnation {
            record.member.config = record.member.config.max(member.config);
        }
        None
    }

    fn store(&mut self, now: Instant, member: Member) -> Command {
        self.updates.insert(member.name.clone(), 0);
        let record = Record {
            member: member.clone(),
            since: now,
        };
        self.members.insert(member.name.clone(), record);
        Command::Changed(member)
    }

    /// Refutes a claim that this entry is suspected or dead.
    fn refute(&mut self, claim: &Member) {
        let is_wrong = claim.state > self.own.state || claim.incarnation > self.own.incarnation;
        if claim.incarnation >= self.own.incarnation && is_wrong {
            self.raise_incarnation(claim.incarnation);
        }
    }

    fn raise_incarnation(&mut self, above: u64) {
        self.own.incarnation = above + 1;
    }

    fn tick(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        if self
            .probe
            .as_ref()
            .and_then(|probe| probe.relays_at)
            .is_some_and(|at| at <= now)
        {
            commands.extend(self.ask_relays());
        }
        if self.next_period <= now {
            let late = now.since(self.next_period);
            if self.next_period > Instant::ZERO && late >= self.settings.period {
                self.discount_pause(late);
            }
            self.next_period = now + self.settings.period;
            commands.extend(self.end_probe(now));
            commands.extend(self.expire(now));
            commands.extend(self.start_probe(now));
        }
        commands
    }

    /// Excludes the time during which this entry was paused and received no answers.
    fn discount_pause(&mut self, late: Duration) {
        self.probe = None;
        for record in self.members.values_mut() {
            record.since = record.since + late;
        }
    }

    fn ask_relays(&mut self) -> Vec<Command> {
        let Some(probe) = &mut self.probe else {
            return Vec::new();
        };
        probe.relays_at = None;
        let (number, target) = (probe.number, probe.member.clone());
        let Some(target) = target else {
            return Vec::new();
        };
        let live = self
            .others()
            .filter(|member| member.state == State::Alive && member.name != target);
        let live = live
            .map(|member| (member.name.clone(), member.peer_address))
            .collect::<Vec<_>>();
        let relays = live
            .sample(&mut self.random, self.settings.relays)
            .cloned()
            .collect::<Vec<_>>();
        relays
            .into_iter()
            .map(|(name, relay)| Command::PingVia {
                probe: number,
                relay,
                target: target.clone(),
                message: self.message_to(Some(&name)),
            })
            .collect()
    }

    fn complete_probe(&mut self, probe: u64) {
        if self.probe.as_ref().is_some_and(|current| current.number == probe) {
            self.probe = None;
        }
    }

    /// Suspects the member that did not answer its probe within the period.
    fn end_probe(&mut self, now: Instant) -> Option<Command> {
        let name = self.probe.take()?.member?;
        let mut member = self.members.get(&name)?.member.clone();
        if member.state != State::Alive {
            return None;
        }
        member.state = State::Suspect;
        Some(self.store(now, member))
    }

    /// Confirms suspicions that were not refuted and removes members at the end of their retention.
    fn expire(&mut self, now: Instant) -> Vec<Command> {
        let suspicion_timeout = self.suspicion_timeout();
        let dead_member_retention = self.settings.dead_member_retention;
        self.members
            .retain(|_, record| record.member.is_live() || now.since(record.since) < dead_member_retention);
        let unrefuted = self
            .members
            .values()
            .filter(|record| record.member.state == State::Suspect && now.since(record.since) >= suspicion_timeout);
        let unrefuted = unrefuted.map(|record| record.member.clone()).collect::<Vec<_>>();
        unrefuted
            .into_iter()
            .map(|member| {
                let state = State::Dead;
                self.store(now, Member { state, ..member })
            })
            .collect()
    }

    fn suspicion_timeout(&self) -> Duration {
        let live = self.others().filter(|member| member.is_live()).count() + 1;
        let digits = (live + 1).ilog10() + 1;
        self.settings.period * self.settings.suspicion_factor * digits
    }

    fn start_probe(&mut self, now: Instant) -> Vec<Command> {
        self.period_count += 1;
        let mut commands = Vec::new();
        if let Some((address, name)) = self.next_member() {
            let number = self.next_probe_number();
            self.probe = Some(Probe {
                number,
                member: Some(name.clone()),
                relays_at: Some(now + self.settings.probe_timeout),
            });
            let message = self.message_to(Some(&name));
            commands.push(Command::Ping {
                probe: number,
                address,
                message,
            });
        }
        if self.probe.is_none() || self.period_count.is_multiple_of(self.settings.dead_probe_periods) {
            commands.extend(self.probe_unreachable());
        }
        commands
    }

    /// Probes a random dead member or seed without a member.
    fn probe_unreachable(&mut self) -> Option<Command> {
        let dead = self.others().filter(|member| member.state == State::Dead);
        let mut unreachable = dead.map(|member| member.peer_address).collect::<Vec<_>>();
        let known = |seed: &SocketAddr| self.others().any(|member| member.peer_address == *seed);
        unreachable.extend(self.seeds.iter().filter(|seed| !known(seed)));
        let address = *unreachable.choose(&mut self.random)?;
        let number = self.next_probe_number();
        let message = self.message_to(None);
        Some(Command::Ping {
            probe: number,
            address,
            message,
        })
    }

    /// Returns the next live member to probe. Each round visits every member once, in random order.
    fn next_member(&mut self) -> Option<(SocketAddr, Entry)> {
        for _ in 0..2 {
            while let Some(name) = self.round.pop() {
                if let Some(record) = self.members.get(&name)
                    && record.member.is_live()
                {
                    return Some((record.member.peer_address, name));
                }
            }
            let live = self.others().filter(|member| member.is_live());
            self.round = live.map(|member| member.name.clone()).collect();
            self.round.shuffle(&mut self.random);
        }
        None
    }

    fn next_probe_number(&mut self) -> u64 {
        self.probe_count += 1;
        self.probe_count
    }

    /// Builds a message within the byte limit: first the receiver's own state unless it is alive, then the updates that
    /// were sent least often.
    fn message_to(&mut self, receiver: Option<&Entry>) -> Message {
        let live = self.members.len() + 1;
        let retransmits = self.settings.retransmit_factor * (live + 1).ilog2().max(1);
        let mut budget = self.settings.max_update_bytes;
        let mut updates = Vec::new();
        if let Some(record) = receiver.and_then(|name| self.members.get(name))
            && record.member.state != State::Alive
        {
            budget = budget.saturating_sub(encoded_len(&record.member));
            updates.push(record.member.clone());
        }
        let mut order = self
            .updates
            .iter()
            .map(|(name, sent)| (*sent, name.clone()))
            .collect::<Vec<_>>();
        order.sort();
        for (sent, name) in order {
            let Some(record) = self.members.get(&name) else {
                self.updates.remove(&name);
                continue;
            };
            let bytes = encoded_len(&record.member);
            if bytes > budget {
                break;
            }
            budget -= bytes;
            updates.push(record.member.clone());
            if sent + 1 >= retransmits {
                self.updates.remove(&name);
            } else {
                self.updates.insert(name, sent + 1);
            }
        }
        Message {
            from: self.own.clone(),
            updates,
            payload: self.payload,
        }
    }
}

fn encoded_len(member: &Member) -> usize {
    serde_json::to_vec(member).map_or(usize::MAX, |bytes| bytes.len() + 1)
}
