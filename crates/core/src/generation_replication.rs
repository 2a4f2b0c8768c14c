use std::time::Duration;

use crate::clock::Instant;
use crate::generation::{Command, Outcome, Settings};
use crate::id::{Attempt, Branch, Entry, Target};
use crate::replica::{Append, Link, Origin, Placement, Reply};
use crate::transcript::Transcript;

/// The delay before failed peers are tried again while tokens still wait for an acknowledgement.
const PEER_BACKOFF: Duration = Duration::from_millis(100);

/// The replication side of a generation: appends, acknowledgements and the release of tokens to the caller.
#[derive(Debug)]
pub(crate) struct Replication {
    settings: Settings,
    request: crate::id::Request,
    epoch: u32,
    origin: Origin,
    /// The deadline of the request.
    deadline: Instant,
    placement: Option<Placement>,
    /// Whether the placement still has to be sent to the peer.
    placement_changed: bool,
    peer: Peer,
    failed: Vec<Entry>,
    /// Whether all peers have failed and are being retried.
    retrying: bool,
    sequence: u64,
    /// What the current peer has acknowledged.
    acked: Position,
    /// What may be sent to the caller.
    released: Position,
    /// Since when an acknowledgement has been outstanding.
    unacked_since: Option<Instant>,
    /// When the release of tokens without a replica began.
    unreplicated_since: Option<Instant>,
    /// The total time of earlier releases without a replica.
    unreplicated_total: Duration,
}

/// A position in a generation; the finish is ordered after the last token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    length: u32,
    finished: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Peer {
    Choosing,
    /// There is no peer; the selection is repeated later.
    Missing {
        until: Instant,
    },
    /// An append is in flight.
    Sending {
        name: Entry,
        end: Position,
        sent: Instant,
        is_failover: bool,
    },
    /// The peer has acknowledged everything up to `acked`.
    Ready {
        name: Entry,
        since: Instant,
    },
}

impl Position {
    fn of(transcript: &Transcript) -> Self {
        Self {
            length: transcript.len(),
            finished: transcript.finish().is_some(),
        }
    }
}

impl Replication {
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
            peer: Peer::Choosing,
            failed: Vec::new(),
            retrying: false,
            sequence: 0,
            acked: Position::default(),
            released: Position {
                length: released,
                finished: false,
            },
            unacked_since: None,
            unreplicated_since: None,
            unreplicated_total: Duration::ZERO,
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
            Peer::Choosing | Peer::Missing { .. } => None,
        }
    }

    /// Returns whether the peer has acknowledged the complete transcript.
    pub(crate) fn is_fully_replicated(&self, transcript: &Transcript) -> bool {
        matches!(self.peer, Peer::Ready { .. })
            && self.unacked_since.is_none()
            && self.acked == Position::of(transcript)
    }

    pub(crate) fn time_unreplicated(&self, now: Instant) -> Duration {
        self.unreplicated_total + self.unreplicated_since.map_or(Duration::ZERO, |since| now - since)
    }

    pub(crate) fn deadline(&self) -> Option<Instant> {
        let peer = match &self.peer {
            Peer::Choosing => None,
            Peer::Missing { until } => Some(*until),
            Peer::Sending { sent, is_failover, .. } => Some(*sent + self.ack_timeout(*is_failover)),
            Peer::Ready { since, .. } => Some(*since + self.settings.refresh_interval),
        };
        [peer, self.release_deadline()].into_iter().flatten().min()
    }

    pub(crate) fn request_peer(&mut self, out: &mut Vec<Command>) {
        self.peer = Peer::Choosing;
        out.push(Command::ChoosePeer {
            failed: self.failed.clone(),
        });
    }

    pub(crate) fn set_peer(&mut self, now: Instant, peer: Entry, transcript: &Transcript, out: &mut Vec<Command>) {
        if !matches!(self.peer, Peer::Choosing) {
            return;
        }
        self.acked = Position::default();
        let is_failover = !self.failed.is_empty() || self.retrying;
        self.send(now, peer, transcript, true, is_failover, out);
    }

    pub(crate) fn peer_unavailable(&mut self, now: Instant, transcript: &Transcript, out: &mut Vec<Command>) {
        if !matches!(self.peer, Peer::Choosing) {
            return;
        }
        self.retrying = !self.failed.is_empty();
        self.failed.clear();
        if !self.retrying {
            // Without another entry, no acknowledgement can be expected.
            self.release_unreplicated(now, transcript, out);
        }
        let wait = if self.unreplicated_since.is_some() {
            self.settings.peer_retry_interval
        } else {
            PEER_BACKOFF
        };
        self.peer = Peer::Missing { until: now + wait };
    }

    pub(crate) fn set_placement(
        &mut self,
        now: Instant,
        target: Target,
        attempt: Attempt,
        transcript: &Transcript,
        out: &mut Vec<Command>,
    ) {
        self.placement = Some(Placement { target, attempt });
        self.placement_changed = true;
        self.send_pending(now, transcript, true, out);
    }

    /// Replicates tokens that were added to the transcript, and releases them if there is no replica.
    pub(crate) fn tokens_added(&mut self, now: Instant, transcript: &Transcript, out: &mut Vec<Command>) {
        if Position::of(transcript) > self.released {
            self.unacked_since.get_or_insert(now);
        }
        if self.unreplicated_since.is_some() {
            self.release(Position::of(transcript), transcript, out);
        }
        self.send_pending(now, transcript, false, out);
    }

    pub(crate) fn replied(
        &mut self,
        now: Instant,
        sequence: u64,
        reply: Reply,
        transcript: &Transcript,
        out: &mut Vec<Command>,
    ) {
        // A fencing reply is valid for any append, while the other replies apply to the current append only.
        // A late reply to an append from an earlier ownership of this entry has a lower epoch.
        if let Reply::Fenced { epoch } = reply
            && epoch > self.epoch
        {
            out.push(Command::End(Outcome::Fenced));
            return;
        }
        let Peer::Sending { name, end, .. } = &self.peer else {
            return;
        };
        if sequence != self.sequence {
            return;
        }
        let (name, end) = (name.clone(), *end);
        match reply {
            Reply::Stored { length } if length >= end.length => self.handle_ack(now, name, end, transcript, out),
            Reply::Stored { .. } | Reply::Incomplete => {
                self.acked = Position::default();
                self.send(now, name, transcript, true, false, out);
            }
            Reply::Declined | Reply::Fenced { .. } => self.fail_over(out),
        }
    }

    pub(crate) fn reply_lost(&mut self, sequence: u64, out: &mut Vec<Command>) {
        if sequence == self.sequence && matches!(self.peer, Peer::Sending { .. }) {
            self.fail_over(out);
        }
    }

    pub(crate) fn peer_lost(&mut self, peer: &Entry, out: &mut Vec<Command>) {
        if self.peer() == Some(peer) {
            self.fail_over(out);
        }
    }

    /// Requires a new acknowledgement before anything is released, because another entry may have taken over while this
    /// process was paused.
    pub(crate) fn reconfirm(&mut self, now: Instant, transcript: &Transcript, out: &mut Vec<Command>) {
        self.end_unreplicated(now);
        self.placement_changed = true;
        self.unacked_since = Some(now);
        match self.peer.clone() {
            Peer::Sending { name, is_failover, .. } => {
                self.send(now, name, transcript, self.acked.length == 0, is_failover, out);
            }
            Peer::Ready { name, .. } => self.send(now, name, transcript, false, false, out),
            Peer::Missing { .. } => self.request_peer(out),
            Peer::Choosing => {}
        }
    }

    pub(crate) fn tick(&mut self, now: Instant, transcript: &Transcript, out: &mut Vec<Command>) {
        if self.release_deadline().is_some_and(|deadline| deadline <= now) {
            self.release_unreplicated(now, transcript, out);
        }
        match &self.peer {
            Peer::Missing { until } if *until <= now => self.request_peer(out),
            Peer::Sending { sent, is_failover, .. } if *sent + self.ack_timeout(*is_failover) <= now => {
                self.fail_over(out);
            }
            Peer::Ready { name, since } if *since + self.settings.refresh_interval <= now => {
                let name = name.clone();
                self.send(now, name, transcript, false, false, out);
            }
            Peer::Choosing | Peer::Missing { .. } | Peer::Sending { .. } | Peer::Ready { .. } => {}
        }
    }

    fn handle_ack(
        &mut self,
        now: Instant,
        name: Entry,
        end: Position,
        transcript: &Transcript,
        out: &mut Vec<Command>,
    ) {
        self.acked = end;
        self.failed.clear();
        self.retrying = false;
        self.peer = Peer::Ready { name, since: now };
        self.unacked_since = (Position::of(transcript) > end).then_some(now);
        if end >= self.released {
            self.end_unreplicated(now);
            self.release(end, transcript, out);
        }
        self.send_pending(now, transcript, false, out);
    }

    fn send_pending(&mut self, now: Instant, transcript: &Transcript, force: bool, out: &mut Vec<Command>) {
        let Peer::Ready { name, .. } = &self.peer else {
            return;
        };
        if force || Position::of(transcript) > self.acked {
            let name = name.clone();
            self.send(now, name, transcript, false, false, out);
        }
    }

    fn send(
        &mut self,
        now: Instant,
        name: Entry,
        transcript: &Transcript,
        complete: bool,
        is_failover: bool,
        out: &mut Vec<Command>,
    ) {
        self.sequence += 1;
        let first = if complete { 0 } else { self.acked.length };
        let append = Append {
            request: self.request,
            epoch: self.epoch,
            branch: self.branch().unwrap_or(Branch::from_random([0; 16])),
            segment: transcript.segment(first),
            placement: self.placement.clone().filter(|_| complete || self.placement_changed),
            origin: complete.then(|| Box::new(self.current_origin(now))),
        };
        self.placement_changed = false;
        out.push(Command::Append {
            peer: name.clone(),
            sequence: self.sequence,
            append: Box::new(append),
        });
        self.peer = Peer::Sending {
            name,
            end: Position::of(transcript),
            sent: now,
            is_failover,
        };
    }

    fn current_origin(&self, now: Instant) -> Origin {
        Origin {
            remaining: self.deadline - now,
            ..self.origin.clone()
        }
    }

    fn fail_over(&mut self, out: &mut Vec<Command>) {
        if let Some(peer) = self.peer().cloned() {
            self.failed.retain(|failed| *failed != peer);
            self.failed.push(peer);
        }
        self.request_peer(out);
    }

    fn release(&mut self, end: Position, transcript: &Transcript, out: &mut Vec<Command>) {
        if end <= self.released {
            return;
        }
        self.released = end;
        out.push(Command::Release {
            upto: end.length,
            finish: transcript.finish().filter(|_| end.finished),
        });
    }

    fn release_unreplicated(&mut self, now: Instant, transcript: &Transcript, out: &mut Vec<Command>) {
        self.unreplicated_since.get_or_insert(now);
        self.unacked_since = None;
        self.release(Position::of(transcript), transcript, out);
    }

    fn end_unreplicated(&mut self, now: Instant) {
        self.unreplicated_total = self.time_unreplicated(now);
        self.unreplicated_since = None;
    }

    fn ack_timeout(&self, is_failover: bool) -> Duration {
        if is_failover {
            return self.settings.next_peer_timeout;
        }
        self.settings.first_peer_timeout
    }

    fn release_deadline(&self) -> Option<Instant> {
        let timeout = self.settings.first_peer_timeout + self.settings.next_peer_timeout;
        self.unacked_since
            .filter(|_| self.unreplicated_since.is_none())
            .map(|since| since + timeout)
    }
}
