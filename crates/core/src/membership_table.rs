//! One entry's view of all entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::clock::Instant;
use crate::id::Entry;
use crate::membership::{Command, Event, Member, Message, Settings, State};

/// Members, probes and updates that are passed on.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    own: Member,
    payload: u64,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<Entry, Record>,
    /// How often each update was sent.
    updates: BTreeMap<Entry, u32>,
    round: Vec<Entry>,
    periods: u64,
    probe: Option<Probe>,
    probes: u64,
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
    /// Creates a table that knows only this entry and addresses to ask first.
    ///
    /// The incarnation of `own` has to be higher than in earlier lives of the entry; the wall-clock time at the start in
    /// milliseconds is.
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
            periods: 0,
            probe: None,
            probes: 0,
            next_period: Instant::ZERO,
            next_sync: Instant::ZERO,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns this entry.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the other members, dead ones included.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|record| &record.member)
    }

    /// Returns all live members, this entry included, in the order of their names.
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

    /// Returns the member with this name, this entry included.
    pub fn get(&self, name: &Entry) -> Option<&Member> {
        if *name == self.own.name {
            return Some(&self.own);
        }
        self.members.get(name).map(|record| &record.member)
    }

    /// Sets the configuration version that this entry has.
    ///
    /// It is not spread as an update: 14,000 changes a day at 390 members would fill the byte bound. Whoever waits for
    /// a version asks the members that lack it.
    pub fn set_config(&mut self, version: u64) {
        self.own.config = self.own.config.max(version);
    }

    /// Sets the hash of this entry's evidence and verdicts.
    pub fn set_payload(&mut self, payload: u64) {
        self.payload = payload;
    }

    /// Marks this entry as leaving or not; the mark is spread.
    pub fn set_draining(&mut self, draining: bool) {
        if self.own.draining != draining {
            self.own.draining = draining;
            self.raise_own(self.own.incarnation);
        }
    }

    /// Marks this entry as gone and returns the message to tell a few members.
    pub fn leave(&mut self) -> Message {
        self.own.state = State::Left;
        self.raise_own(self.own.incarnation);
        self.message_to(None)
    }

    /// Notes the version that a member said it has.
    pub fn note_config(&mut self, name: &Entry, version: u64) {
        if let Some(record) = self.members.get_mut(name) {
            record.member.config = record.member.config.max(version);
        }
    }

    /// Returns when [`Event::Wake`] is due.
    pub fn deadline(&self) -> Option<Instant> {
        let relays = self.probe.as_ref().and_then(|probe| probe.relays_at);
        Some(relays.map_or(self.next_period, |at| at.min(self.next_period)))
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        match event {
            Event::Answered { probe, message } => {
                self.reached(probe);
                self.absorb(now, &message)
            }
            Event::Wake => self.wake(now),
        }
    }

    /// Takes a peer's probe and returns the answer.
    pub fn receive(&mut self, now: Instant, message: &Message) -> (Message, Vec<Command>) {
        let commands = self.absorb(now, message);
        (self.message_to(Some(&message.from.name)), commands)
    }

    /// Returns address and message for an indirect probe that a peer asked for.
    pub fn relay(&mut self, target: &Entry) -> Option<(SocketAddr, Message)> {
        let address = self.members.get(target)?.member.peer_address;
        Some((address, self.message_to(Some(target))))
    }

    /// Takes what a message says.
    pub fn absorb(&mut self, now: Instant, message: &Message) -> Vec<Command> {
        let name = &message.from.name;
        let was_live = self.members.get(name).is_some_and(|record| record.member.is_live());
        let mut commands = self.merge(now, std::iter::once(&message.from).chain(&message.updates));
        let is_new = !was_live && *name != self.own.name && message.from.is_live();
        if is_new && self.next_sync <= now {
            self.next_sync = now + self.settings.sync_every;
            commands.push(Command::Sync(message.from.peer_address));
        }
        commands
    }

    /// Returns the whole view, for [`Command::Sync`].
    pub fn snapshot(&self) -> Vec<Member> {
        std::iter::once(&self.own).chain(self.others()).cloned().collect()
    }

    /// Takes a part or the whole of another entry's view.
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
            // A dead member that is not known was forgotten; it must not be passed around for ever.
            return member.is_live().then(|| self.put(now, member.clone()));
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
            let command = self.put(now, member);
            return changed.then_some(command);
        }
        if member.incarnation == record.member.incarnation {
            record.member.config = record.member.config.max(member.config);
        }
        None
    }

    fn put(&mut self, now: Instant, member: Member) -> Command {
        self.updates.insert(member.name.clone(), 0);
        let record = Record {
            member: member.clone(),
            since: now,
        };
        self.members.insert(member.name.clone(), record);
        Command::Changed(member)
    }

    /// Contradicts a suspicion or death of this entry.
    fn refute(&mut self, claim: &Member) {
        let is_wrong = claim.state > self.own.state || claim.incarnation > self.own.incarnation;
        if claim.incarnation >= self.own.incarnation && is_wrong {
            self.raise_own(claim.incarnation);
        }
    }

    fn raise_own(&mut self, above: u64) {
        self.own.incarnation = above + 1;
    }

    fn wake(&mut self, now: Instant) -> Vec<Command> {
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
                self.forgive(late);
            }
            self.next_period = now + self.settings.period;
            commands.extend(self.end_probe(now));
            commands.extend(self.expire(now));
            commands.extend(self.start_probe(now));
        }
        commands
    }

    /// Discounts the time that this entry itself was paused, in which it heard no answers.
    fn forgive(&mut self, late: Duration) {
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

    fn reached(&mut self, probe: u64) {
        if self.probe.as_ref().is_some_and(|current| current.number == probe) {
            self.probe = None;
        }
    }

    /// Suspects the member whose probe was not answered within the period.
    fn end_probe(&mut self, now: Instant) -> Option<Command> {
        let name = self.probe.take()?.member?;
        let mut member = self.members.get(&name)?.member.clone();
        if member.state != State::Alive {
            return None;
        }
        member.state = State::Suspect;
        Some(self.put(now, member))
    }

    /// Confirms suspicions and forgets members that are dead for long.
    fn expire(&mut self, now: Instant) -> Vec<Command> {
        let suspicion = self.suspicion();
        let forget_after = self.settings.forget_after;
        self.members
            .retain(|_, record| record.member.is_live() || now.since(record.since) < forget_after);
        let late = self
            .members
            .values()
            .filter(|record| record.member.state == State::Suspect && now.since(record.since) >= suspicion);
        let late = late.map(|record| record.member.clone()).collect::<Vec<_>>();
        late.into_iter()
            .map(|member| {
                let state = State::Dead;
                self.put(now, Member { state, ..member })
            })
            .collect()
    }

    fn suspicion(&self) -> Duration {
        let live = self.others().filter(|member| member.is_live()).count() + 1;
        let digits = (live + 1).ilog10() + 1;
        self.settings.period * self.settings.suspicion_factor * digits
    }

    fn start_probe(&mut self, now: Instant) -> Vec<Command> {
        self.periods += 1;
        let mut commands = Vec::new();
        if let Some((address, name)) = self.next_member() {
            let number = self.next_number();
            self.probe = Some(Probe {
                number,
                member: Some(name.clone()),
                relays_at: Some(now + self.settings.probe_limit),
            });
            let message = self.message_to(Some(&name));
            commands.push(Command::Ping {
                probe: number,
                address,
                message,
            });
        }
        if self.probe.is_none() || self.periods.is_multiple_of(self.settings.dead_probe_every) {
            commands.extend(self.probe_absent());
        }
        commands
    }

    /// Probes a dead member or a seed that belongs to no live member.
    fn probe_absent(&mut self) -> Option<Command> {
        let dead = self.others().filter(|member| member.state == State::Dead);
        let mut absent = dead.map(|member| member.peer_address).collect::<Vec<_>>();
        let known = |seed: &SocketAddr| self.others().any(|member| member.peer_address == *seed);
        absent.extend(self.seeds.iter().filter(|seed| !known(seed)));
        let address = *absent.choose(&mut self.random)?;
        let number = self.next_number();
        let message = self.message_to(None);
        Some(Command::Ping {
            probe: number,
            address,
            message,
        })
    }

    /// Returns the next live member; every member has its turn once in a round in random order.
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

    fn next_number(&mut self) -> u64 {
        self.probes += 1;
        self.probes
    }

    /// Builds a message within the byte bound: what the receiver must know of itself, then the updates sent least.
    fn message_to(&mut self, receiver: Option<&Entry>) -> Message {
        let live = self.members.len() + 1;
        let repeats = self.settings.repeat_factor * (live + 1).ilog2().max(1);
        let mut room = self.settings.update_bytes;
        let mut updates = Vec::new();
        if let Some(record) = receiver.and_then(|name| self.members.get(name))
            && record.member.state != State::Alive
        {
            room = room.saturating_sub(encoded_len(&record.member));
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
            if bytes > room {
                break;
            }
            room -= bytes;
            updates.push(record.member.clone());
            if sent + 1 >= repeats {
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
