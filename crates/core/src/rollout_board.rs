//! All rollouts as one entry sees them.

use std::collections::BTreeMap;

use jiff::{SignedDuration, Timestamp};
use serde::{Deserialize, Serialize};

use crate::config::Document;
use crate::id::{Model, Rollout, Target, Version};
use crate::rollout::{
    Cell, Evidence, Fleet, Ledger, Metric, Origin, Rate, Reason, Run, Sample, Schedule, Share, Side, Verdict, judge,
};
use crate::rules::RolloutRule;

/// The rollouts of the configuration with evidence and verdicts.
#[derive(Debug)]
pub struct Board {
    own: Origin,
    /// Whether verdicts were asked for since the start of this entry.
    learned: bool,
    moves: BTreeMap<Run, Move>,
    /// Verdicts, also of runs that the configuration does not name yet or no longer names.
    verdicts: BTreeMap<Run, Verdict>,
}

#[derive(Debug)]
struct Move {
    rule: RolloutRule,
    old: Vec<Target>,
    new: Vec<Target>,
    schedule: Schedule,
    evidence: Evidence,
    share: Share,
    is_changed: bool,
}

/// What the board needs to have done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send a verdict to all peers at once and write it to the platform when it can be reached.
    Spread(Run, Verdict),
}

/// The version and the targets for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice<'a> {
    /// The version.
    pub version: &'a Version,
    /// The targets that may serve the request.
    pub targets: &'a [Target],
}

/// What an entry has, so that a peer sends only the rest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known(pub Vec<(Run, Revisions)>);

/// The revision of each ledger that an entry has.
pub type Revisions = Vec<(Origin, Side, u64)>;

/// Evidence and verdicts that another entry may lack.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Changed cells, by run and writer.
    pub cells: Vec<(Run, Origin, Vec<Cell>)>,
    /// All final verdicts.
    pub verdicts: Vec<(Run, Verdict)>,
}

/// The state of a rollout, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The name.
    pub rollout: Rollout,
    /// The model.
    pub model: Model,
    /// The version that traffic moves from.
    pub from: Version,
    /// The version that traffic moves to.
    pub to: Version,
    /// When the move begins.
    pub start: Timestamp,
    /// The deadline.
    pub deadline: Timestamp,
    /// The share.
    pub share: Share,
    /// The verdict.
    pub verdict: Verdict,
    /// The verdict's reason in words.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub reason: Option<String>,
    /// Until when the old version stays loaded, after the move.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub old_until: Option<Timestamp>,
}

impl Board {
    /// Creates a board for one life of an entry.
    pub fn new(own: Origin) -> Self {
        Self {
            own,
            learned: false,
            moves: BTreeMap::new(),
            verdicts: BTreeMap::new(),
        }
    }

    /// Notes that verdicts were read from the platform or a peer, or that there is nobody to ask.
    ///
    /// Until then no request goes to a new version: it may have been reversed while this entry was down.
    pub fn set_learned(&mut self) {
        self.learned = true;
    }

    /// Returns whether [`Board::set_learned`] was called.
    pub fn is_learned(&self) -> bool {
        self.learned
    }

    /// Takes a configuration version; evidence of rollouts that it still has is kept.
    pub fn configure(&mut self, now: Timestamp, document: &Document) -> Vec<Command> {
        let mut earlier = std::mem::take(&mut self.moves);
        let mut aborted = Vec::new();
        for (name, rule) in &document.rules.rollouts {
            let run = Run {
                rollout: name.clone(),
                to: rule.to.clone(),
                start: rule.start,
            };
            let evidence = earlier.remove(&run).map(|known| known.evidence).unwrap_or_default();
            if rule.aborted {
                aborted.push(run.clone());
            }
            self.moves.insert(run, Move::new(now, document, rule, evidence));
        }
        let mut commands = Vec::new();
        for run in aborted {
            // The time of the start makes the verdict the same in every entry.
            let verdict = aborted_by("the configuration", run.start);
            commands.extend(self.decide(now, &run, &verdict));
        }
        self.refresh(now);
        commands
    }

    /// Counts what a request met.
    pub fn record(&mut self, now: Timestamp, model: &Model, sample: &Sample) {
        let own = self.own.clone();
        let verdicts = &self.verdicts;
        let found = self.moves.iter_mut().find(|(_, known)| known.rule.model == *model);
        let Some((run, known)) = found else {
            return;
        };
        let is_over = verdicts.get(run).is_some_and(Verdict::is_final);
        if let (false, Some(interval)) = (is_over, known.schedule.interval(now)) {
            known.evidence.record(&own, sample, interval);
            known.is_changed = true;
        }
    }

    /// Judges all runs that have new evidence and computes the shares.
    pub fn evaluate(&mut self, now: Timestamp) -> Vec<Command> {
        let mut found = Vec::new();
        for (run, known) in &mut self.moves {
            let verdict = self.verdicts.get(run).unwrap_or(&Verdict::Running);
            known.evidence.publish(&self.own, now);
            if verdict.is_final() || !std::mem::take(&mut known.is_changed) {
                continue;
            }
            if let Some(reason) = judge(&known.evidence, &known.schedule, now) {
                found.push((run.clone(), Verdict::Reversed { at: now, reason }));
            } else if Share::of(&known.schedule, now, &known.evidence, verdict).is_complete {
                found.push((run.clone(), Verdict::Done { at: now }));
            }
        }
        let decided = found
            .into_iter()
            .filter_map(|(run, verdict)| self.decide(now, &run, &verdict))
            .collect();
        self.refresh(now);
        decided
    }

    /// Returns the version and targets for a request, or `None` when the model is in no rollout.
    pub fn choose(&self, model: &Model, request: &[u8]) -> Option<Choice<'_>> {
        let (_, known) = self.moves.iter().find(|(_, known)| known.rule.model == *model)?;
        if self.learned && known.share.takes(request) {
            return Some(Choice {
                version: &known.rule.to,
                targets: first(&known.new, known.share.new_targets),
            });
        }
        Some(Choice {
            version: &known.rule.from,
            targets: first(&known.old, known.share.old_targets),
        })
    }

    /// Returns the targets of a version that may be used at its present share, or `None` outside a rollout.
    pub fn in_use(&self, model: &Model, version: &Version) -> Option<&[Target]> {
        let known = self.moves.values().find(|known| known.rule.model == *model)?;
        match self.side(model, version)? {
            // Requests stay on the version they began with; when its share is taken back, any target may finish them.
            Side::New if known.share.new_targets == 0 => Some(&known.new),
            Side::New => Some(first(&known.new, known.share.new_targets)),
            Side::Old => Some(first(&known.old, known.share.old_targets)),
        }
    }

    /// Returns which side of a rollout of the model a version is on.
    pub fn side(&self, model: &Model, version: &Version) -> Option<Side> {
        let known = self.moves.values().find(|known| known.rule.model == *model)?;
        match version {
            version if *version == known.rule.from => Some(Side::Old),
            version if *version == known.rule.to => Some(Side::New),
            _ => None,
        }
    }

    /// Ends a rollout for an operator; returns `None` when there is no such rollout.
    pub fn abort(&mut self, now: Timestamp, rollout: &Rollout, who: &str) -> Option<Vec<Command>> {
        let run = self.moves.keys().find(|run| run.rollout == *rollout)?.clone();
        Some(self.decide(now, &run, &aborted_by(who, now)).into_iter().collect())
    }

    /// Takes a verdict of a peer or the platform; a change is spread further.
    pub fn learn(&mut self, now: Timestamp, run: &Run, verdict: &Verdict) -> Option<Command> {
        self.decide(now, run, verdict)
    }

    /// Returns what this entry has.
    pub fn known(&self) -> Known {
        let moves = self.moves.iter().map(|(run, known)| {
            let revisions = known.evidence.revisions();
            let revisions = revisions.map(|(origin, side, revision)| (origin.clone(), side, revision));
            (run.clone(), revisions.collect())
        });
        Known(moves.collect())
    }

    /// Returns what another entry lacks, up to about `max_bytes` of evidence.
    ///
    /// Runs that the other entry does not name are left out, because it has no configuration for them yet.
    pub fn delta(&self, known: &Known, max_bytes: usize) -> Delta {
        let mut room = max_bytes;
        let mut cells = Vec::new();
        for (run, revisions) in &known.0 {
            let Some(own) = self.moves.get(run) else {
                continue;
            };
            for (origin, ledger, since) in own.missing(revisions) {
                let fitting = ledger.since(since).take_while(|cell| {
                    let bytes = serde_json::to_vec(cell).map_or(usize::MAX, |bytes| bytes.len());
                    let fits = bytes <= room;
                    room = room.saturating_sub(bytes);
                    fits
                });
                let fitting = fitting.collect::<Vec<_>>();
                if !fitting.is_empty() {
                    cells.push((run.clone(), origin.clone(), fitting));
                }
            }
        }
        let verdicts = self
            .verdicts
            .iter()
            .map(|(run, verdict)| (run.clone(), verdict.clone()));
        Delta {
            cells,
            verdicts: verdicts.collect(),
        }
    }

    /// Takes what a peer sent.
    pub fn absorb(&mut self, now: Timestamp, delta: &Delta) -> Vec<Command> {
        for (run, origin, cells) in &delta.cells {
            // This entry's own counters are known best to itself.
            if let (Some(known), true) = (self.moves.get_mut(run), *origin != self.own) {
                for cell in cells {
                    known.evidence.merge(origin, cell);
                }
                known.is_changed = true;
            }
        }
        let verdicts = delta.verdicts.iter();
        verdicts
            .filter_map(|(run, verdict)| self.decide(now, run, verdict))
            .collect()
    }

    /// Returns a hash of what this entry has; entries with the same hash have nothing to exchange.
    pub fn payload(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for (run, revisions) in self.known().0 {
            hasher.update(format!("{run:?}").as_bytes());
            for (origin, side, revision) in revisions {
                hasher.update(origin.entry.as_str().as_bytes());
                hasher.update(&origin.incarnation.to_le_bytes());
                hasher.update(&[side as u8]);
                hasher.update(&revision.to_le_bytes());
            }
        }
        for (run, verdict) in &self.verdicts {
            hasher.update(format!("{run:?}{verdict:?}").as_bytes());
        }
        let mut payload = [0; 8];
        hasher.finalize_xof().fill(&mut payload);
        u64::from_le_bytes(payload)
    }

    /// Returns the final verdicts.
    pub fn verdicts(&self) -> impl Iterator<Item = (&Run, &Verdict)> {
        self.verdicts.iter()
    }

    /// Returns the state of all rollouts of the configuration.
    pub fn reports(&self) -> Vec<Report> {
        let reports = self.moves.iter().map(|(run, known)| {
            let verdict = self.verdicts.get(run).cloned().unwrap_or_default();
            known.report(run, verdict)
        });
        reports.collect()
    }

    fn decide(&mut self, now: Timestamp, run: &Run, verdict: &Verdict) -> Option<Command> {
        if !verdict.is_final() {
            return None;
        }
        let own = self.verdicts.entry(run.clone()).or_default();
        if !own.merge(verdict) {
            return None;
        }
        let verdict = own.clone();
        self.refresh(now);
        Some(Command::Spread(run.clone(), verdict))
    }

    fn refresh(&mut self, now: Timestamp) {
        for (run, known) in &mut self.moves {
            let verdict = self.verdicts.get(run).unwrap_or(&Verdict::Running);
            known.share = Share::of(&known.schedule, now, &known.evidence, verdict);
        }
    }
}

impl Move {
    fn new(now: Timestamp, document: &Document, rule: &RolloutRule, evidence: Evidence) -> Self {
        let targets = |version: &Version| {
            let engines = document.inventory.engines(&rule.model, version);
            engines.map(|(target, _)| target.clone()).collect::<Vec<_>>()
        };
        let (old, new) = (targets(&rule.from), targets(&rule.to));
        let schedule = Schedule::new(rule, Fleet::of(&old, &new));
        let share = Share::of(&schedule, now, &evidence, &Verdict::Running);
        Self {
            rule: rule.clone(),
            old,
            new,
            schedule,
            evidence,
            share,
            is_changed: true,
        }
    }

    /// Returns the ledgers of which another entry has less, those of the new version first and then by what is missing.
    fn missing<'a>(&'a self, known: &[(Origin, Side, u64)]) -> Vec<(&'a Origin, &'a Ledger, u64)> {
        let known = known
            .iter()
            .map(|(origin, side, revision)| ((origin, *side), *revision));
        let known = known.collect::<BTreeMap<_, _>>();
        let ledgers = self.evidence.ledgers().map(|(origin, side, ledger)| {
            let since = known.get(&(origin, side)).copied().unwrap_or(0);
            (side, ledger.revision().saturating_sub(since), origin, ledger, since)
        });
        let mut missing = ledgers.filter(|(_, gap, ..)| *gap > 0).collect::<Vec<_>>();
        missing.sort_by_key(|(side, gap, ..)| std::cmp::Reverse((*side, *gap)));
        missing
            .into_iter()
            .map(|(_, _, origin, ledger, since)| (origin, ledger, since))
            .collect()
    }

    fn report(&self, run: &Run, verdict: Verdict) -> Report {
        let keep = SignedDuration::from_millis(i64::try_from(self.rule.keep_ms).unwrap_or(i64::MAX));
        Report {
            rollout: run.rollout.clone(),
            model: self.rule.model.clone(),
            from: self.rule.from.clone(),
            to: self.rule.to.clone(),
            start: self.rule.start,
            deadline: self.rule.deadline,
            share: self.share,
            reason: match &verdict {
                Verdict::Reversed { reason, .. } => Some(reason.to_string()),
                _ => None,
            },
            old_until: match &verdict {
                Verdict::Done { at } => Some(*at + keep),
                _ => None,
            },
            verdict,
        }
    }
}

impl Fleet {
    /// Counts the targets of both versions.
    pub fn of(old: &[Target], new: &[Target]) -> Self {
        let count = |targets: &[Target]| u32::try_from(targets.len()).unwrap_or(u32::MAX);
        Self {
            old: count(old),
            new: count(new),
        }
    }
}

fn aborted_by(who: &str, at: Timestamp) -> Verdict {
    Verdict::Reversed {
        at,
        reason: Reason {
            metric: Metric::Aborted(who.to_owned()),
            route: None,
            new: Rate::default(),
            old: Rate::default(),
        },
    }
}

fn first(targets: &[Target], count: u32) -> &[Target] {
    let count = usize::try_from(count).unwrap_or(usize::MAX);
    &targets[..count.min(targets.len())]
}
