use std::time::Duration;

use crate::clock::Instant;
use crate::generation::{Command, Outcome, Settings};
use crate::id::{Attempt, Branch, Entry, Target};
use crate::replica::{Append, Link, Origin, Placement, Reply};
use crate::tape::Tape;

/// The time after which the failed peers are tried again while tokens still wait for an acknowledgement.
const PEER_BACKOFF: Duration = Duration::from_millis(100);

/// The replica side of a generation: appends, acknowledgements and the release of tokens to the caller.
#[derive(Debug)]
pub(crate) struct Release {
    settings: Settings,
    request: crate::id::Request,
    epoch: u32,
    origin: Origin,
    /// When the request's deadline passes.
    deadline: Instant,
    placement: Option<Placement>,
    /// Whether the peer does not know the placement yet.
    placement_changed: bool,
    peer: Peer,
    failed: Vec<Entry>,
    /// Whether all peers failed and are tried again.
    retrying: bool,
    ticket: u64,
    /// The tokens that the current peer has, and whether it has the end.
    acked: Mark,
    /// What the caller may have.
    released: Mark,
    /// Since when something waits for an acknowledgement.
    waiting: Option<Instant>,
    /// Since when tokens are released without a copy.
    without: Option<Instant>,
    without_total: Duration,
}

/// How far a generation has got; the end counts as further than the last token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Mark {
    length: u32,
    finished: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Peer {
    Asking,
    /// There is no peer; ask again later.
    Missing {
        until: Instant,
    },
    /// An append is on its way.
    Sending {
        name: Entry,
        upto: Mark,
        sent: Instant,
        moved: bool,
    },
    /// The peer has everything up to `acked`.
    Ready {
        name: Entry,
        since: Instant,
    },
}

impl Mark {
    fn of(tape: &Tape) -> Self {
        Self {
            length: tape.len(),
            finished: tape.finish().is_some(),
        }
    }
}

impl Release {
    pub(crate) fn new(
        settings: Settings,
        request: crate::id::Request,
        epoch: u32,
        origin: Origin,
        now: Instant,
        released: u32,
    ) -> Self {
        Self {
            settings,
            request,
            epoch,
            deadline: now + origin.remaining,
            origin,
            placement: None,
            placement_changed: false,
            peer: Peer::Asking,
            failed: Vec::new(),
            retrying: false,
            ticket: 0,
            acked: Mark::default(),
            released: Mark {
                length: released,
                finished: false,
            },
            waiting: None,
            without: None,
            without_total: Duration::ZERO,
        }
    }

    pub(crate) fn origin(&self) -> &Origin {
        &self.origin
    }

    pub(crate) fn epoch(&self) -> u32 {
        self.epoch
    }

    pub(crate) fn branch(&self) -> Option<Branch> {
        self.origin.lineage.last().map(|link: &Link| link.branch)
    }

    pub(crate) fn request_deadline(&self) -> Instant {
        self.deadline
    }

    pub(crate) fn released(&self) -> u32 {
        self.released.length
    }

    pub(crate) fn is_finished(&self) -> bool {
        self.released.finished
    }

    pub(crate) fn peer(&self) -> Option<&Entry> {
        match &self.peer {
            Peer::Sending { name, .. } | Peer::Ready { name, .. } => Some(name),
            Peer::Asking | Peer::Missing { .. } => None,
        }
    }

    /// Returns whether the peer has everything.
    pub(crate) fn is_covered(&self, tape: &Tape) -> bool {
        matches!(self.peer, Peer::Ready { .. }) && self.waiting.is_none() && self.acked == Mark::of(tape)
    }

    pub(crate) fn time_without(&self, now: Instant) -> Duration {
        self.without_total + self.without.map_or(Duration::ZERO, |since| now - since)
    }

    pub(crate) fn deadline(&self) -> Option<Instant> {
        let peer = match &self.peer {
            Peer::Asking => None,
            Peer::Missing { until } => Some(*until),
            Peer::Sending { sent, moved, .. } => Some(*sent + self.answer_limit(*moved)),
            Peer::Ready { since, .. } => Some(*since + self.settings.refresh),
        };
        [peer, self.release_deadline()].into_iter().flatten().min()
    }

    pub(crate) fn ask(&mut self, out: &mut Vec<Command>) {
        self.peer = Peer::Asking;
        out.push(Command::ChoosePeer {
            failed: self.failed.clone(),
        });
    }

    pub(crate) fn choose(&mut self, now: Instant, peer: Entry, tape: &Tape, out: &mut Vec<Command>) {
        if !matches!(self.peer, Peer::Asking) {
            return;
        }
        self.acked = Mark::default();
        let moved = !self.failed.is_empty() || self.retrying;
        self.send(now, peer, tape, true, moved, out);
    }

    pub(crate) fn lack(&mut self, now: Instant, tape: &Tape, out: &mut Vec<Command>) {
        if !matches!(self.peer, Peer::Asking) {
            return;
        }
        self.retrying = !self.failed.is_empty();
        self.failed.clear();
        if !self.retrying {
            // Without another entry there is nothing to wait for.
            self.release_without(now, tape, out);
        }
        let wait = if self.without.is_some() {
            self.settings.peer_retry
        } else {
            PEER_BACKOFF
        };
        self.peer = Peer::Missing { until: now + wait };
    }

    pub(crate) fn place(
        &mut self,
        now: Instant,
        target: Target,
        attempt: Attempt,
        tape: &Tape,
        out: &mut Vec<Command>,
    ) {
        self.placement = Some(Placement { target, attempt });
        self.placement_changed = true;
        self.advance(now, tape, true, out);
    }

    /// Sends what the peer does not have yet, and releases what may be released.
    pub(crate) fn produced(&mut self, now: Instant, tape: &Tape, out: &mut Vec<Command>) {
        if Mark::of(tape) > self.released {
            self.waiting.get_or_insert(now);
        }
        if self.without.is_some() {
            self.release(Mark::of(tape), tape, out);
        }
        self.advance(now, tape, false, out);
    }

    pub(crate) fn replied(&mut self, now: Instant, ticket: u64, reply: Reply, tape: &Tape, out: &mut Vec<Command>) {
        // A fence is true whichever append it answers; the other replies are about the current peer only.
        // A late answer to an append of an earlier ownership of this entry has a lower epoch.
        if let Reply::Fenced { epoch } = reply
            && epoch > self.epoch
        {
            out.push(Command::End(Outcome::Fenced));
            return;
        }
        let Peer::Sending { name, upto, .. } = &self.peer else {
            return;
        };
        if ticket != self.ticket {
            return;
        }
        let (name, upto) = (name.clone(), *upto);
        match reply {
            Reply::Stored { length } if length >= upto.length => self.acknowledged(now, name, upto, tape, out),
            Reply::Stored { .. } | Reply::Incomplete => {
                self.acked = Mark::default();
                self.send(now, name, tape, true, false, out);
            }
            Reply::Declined | Reply::Fenced { .. } => self.move_on(out),
        }
    }

    pub(crate) fn reply_lost(&mut self, ticket: u64, out: &mut Vec<Command>) {
        if ticket == self.ticket && matches!(self.peer, Peer::Sending { .. }) {
            self.move_on(out);
        }
    }

    pub(crate) fn peer_lost(&mut self, peer: &Entry, out: &mut Vec<Command>) {
        if self.peer() == Some(peer) {
            self.move_on(out);
        }
    }

    /// Asks the peer again before anything is released, because another entry may have taken over meanwhile.
    pub(crate) fn reconfirm(&mut self, now: Instant, tape: &Tape, out: &mut Vec<Command>) {
        self.end_without(now);
        self.placement_changed = true;
        self.waiting = Some(now);
        match self.peer.clone() {
            Peer::Sending { name, moved, .. } => self.send(now, name, tape, self.acked.length == 0, moved, out),
            Peer::Ready { name, .. } => self.send(now, name, tape, false, false, out),
            Peer::Missing { .. } => self.ask(out),
            Peer::Asking => {}
        }
    }

    pub(crate) fn tick(&mut self, now: Instant, tape: &Tape, out: &mut Vec<Command>) {
        if self.release_deadline().is_some_and(|deadline| deadline <= now) {
            self.release_without(now, tape, out);
        }
        match &self.peer {
            Peer::Missing { until } if *until <= now => self.ask(out),
            Peer::Sending { sent, moved, .. } if *sent + self.answer_limit(*moved) <= now => self.move_on(out),
            Peer::Ready { name, since } if *since + self.settings.refresh <= now => {
                let name = name.clone();
                self.send(now, name, tape, false, false, out);
            }
            Peer::Asking | Peer::Missing { .. } | Peer::Sending { .. } | Peer::Ready { .. } => {}
        }
    }

    fn acknowledged(&mut self, now: Instant, name: Entry, upto: Mark, tape: &Tape, out: &mut Vec<Command>) {
        self.acked = upto;
        self.failed.clear();
        self.retrying = false;
        self.peer = Peer::Ready { name, since: now };
        self.waiting = (Mark::of(tape) > upto).then_some(now);
        if upto >= self.released {
            self.end_without(now);
            self.release(upto, tape, out);
        }
        self.advance(now, tape, false, out);
    }

    fn advance(&mut self, now: Instant, tape: &Tape, always: bool, out: &mut Vec<Command>) {
        let Peer::Ready { name, .. } = &self.peer else {
            return;
        };
        if always || Mark::of(tape) > self.acked {
            let name = name.clone();
            self.send(now, name, tape, false, false, out);
        }
    }

    fn send(&mut self, now: Instant, name: Entry, tape: &Tape, whole: bool, moved: bool, out: &mut Vec<Command>) {
        self.ticket += 1;
        let first = if whole { 0 } else { self.acked.length };
        let append = Append {
            request: self.request,
            epoch: self.epoch,
            branch: self.branch().unwrap_or(Branch::from_random([0; 16])),
            segment: tape.segment(first),
            placement: self.placement.clone().filter(|_| whole || self.placement_changed),
            origin: whole.then(|| Box::new(self.current_origin(now))),
        };
        self.placement_changed = false;
        out.push(Command::Append {
            peer: name.clone(),
            ticket: self.ticket,
            append: Box::new(append),
        });
        self.peer = Peer::Sending {
            name,
            upto: Mark::of(tape),
            sent: now,
            moved,
        };
    }

    fn current_origin(&self, now: Instant) -> Origin {
        Origin {
            remaining: self.deadline - now,
            ..self.origin.clone()
        }
    }

    fn move_on(&mut self, out: &mut Vec<Command>) {
        if let Some(peer) = self.peer().cloned() {
            self.failed.retain(|failed| *failed != peer);
            self.failed.push(peer);
        }
        self.ask(out);
    }

    fn release(&mut self, upto: Mark, tape: &Tape, out: &mut Vec<Command>) {
        if upto <= self.released {
            return;
        }
        self.released = upto;
        out.push(Command::Release {
            upto: upto.length,
            finish: tape.finish().filter(|_| upto.finished),
        });
    }

    fn release_without(&mut self, now: Instant, tape: &Tape, out: &mut Vec<Command>) {
        self.without.get_or_insert(now);
        self.waiting = None;
        self.release(Mark::of(tape), tape, out);
    }

    fn end_without(&mut self, now: Instant) {
        self.without_total = self.time_without(now);
        self.without = None;
    }

    fn answer_limit(&self, moved: bool) -> Duration {
        if moved {
            return self.settings.next_peer;
        }
        self.settings.first_peer
    }

    fn release_deadline(&self) -> Option<Instant> {
        let patience = self.settings.first_peer + self.settings.next_peer;
        self.waiting
            .filter(|_| self.without.is_none())
            .map(|since| since + patience)
    }
}
