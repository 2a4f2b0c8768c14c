//! The state of all rollouts at one entry.

use std::collections::BTreeMap;

use jiff::{SignedDuration, Timestamp};
use serde::{Deserialize, Serialize};

use crate::config::Document;
use crate::id::{Model, Rollout, Target, Version};
use crate::rollout::{
    Cell, Evidence, Fleet, Ledger, Metric, Origin, Rate, Reason, Run, Sample, Schedule, Share, Side, Verdict, judge,
};
use crate::rules::RolloutRule;

/// The configured rollouts with their evidence and verdicts.
#[derive(Debug)]
pub struct Registry {
    own: Origin,
    /// Whether verdicts have been read since the start of this entry, or there is no source to read them from.
    is_synchronized: bool,
    runs: BTreeMap<Run, State>,
    /// Final verdicts, including runs that are not yet or no longer in the configuration.
    verdicts: BTreeMap<Run, Verdict>,
}

#[derive(Debug)]
struct State {
    rule: RolloutRule,
    old: Vec<Target>,
    new: Vec<Target>,
    schedule: Schedule,
    evidence: Evidence,
    share: Share,
    is_changed: bool,
}

/// Output of a [`Registry`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send a verdict to all peers immediately, and write it to the platform when it is reachable.
    Broadcast(Run, Verdict),
}

/// The version and the targets for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice<'a> {
    /// The version.
    pub version: &'a Version,
    /// The targets allowed to serve the request.
    pub targets: &'a [Target],
}

/// The revisions that an entry has, from which a peer computes the [`Delta`] to send.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known(pub Vec<(Run, Revisions)>);

/// The revision of each ledger of a run.
pub type Revisions = Vec<(Origin, Side, u64)>;

/// Evidence and verdicts that another entry may lack.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Changed cells by run and origin.
    pub cells: Vec<(Run, Origin, Vec<Cell>)>,
    /// All final verdicts.
    pub verdicts: Vec<(Run, Verdict)>,
}

/// The state of a rollout as reported to operators.
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
    /// When the rollout starts.
    pub start: Timestamp,
    /// The deadline.
    pub deadline: Timestamp,
    /// The current share of the new version.
    pub share: Share,
    /// The verdict.
    pub verdict: Verdict,
    /// The reason of a reversal as text.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub reason: Option<String>,
    /// Until when the old version stays loaded after a completed rollout.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub old_until: Option<Timestamp>,
}

impl Registry {
    /// Creates an empty registry for one run of an entry.
    pub fn new(own: Origin) -> Self {
        Self {
            own,
            is_synchronized: false,
            runs: BTreeMap::new(),
            verdicts: BTreeMap::new(),
        }
    }

    /// Records that verdicts were read from the platform or a peer, or that there is no source to read them from.
    ///
    /// Until then no request uses a new version, because it may have been reversed while this entry was down.
    pub fn set_synchronized(&mut self) {
        self.is_synchronized = true;
    }

    /// Returns whether [`Registry::set_synchronized`] was called.
    pub fn is_synchronized(&self) -> bool {
        self.is_synchronized
    }

    /// Applies a configuration version; runs that it still contains keep their evidence.
    pub fn configure(&mut self, now: Timestamp, document: &Document) -> Vec<Command> {
        let mut earlier = std::mem::take(&mut self.runs);
        let mut aborted = Vec::new();
        for (name, rule) in &document.rules.rollouts {
            let run = Run {
                rollout: name.clone(),
                to: rule.to.clone(),
                start: rule.start,
            };
            let evidence = earlier.remove(&run).map(|state| state.evidence).unwrap_or_default();
            if rule.aborted {
                aborted.push(run.clone());
            }
            self.runs.insert(run, State::new(now, document, rule, evidence));
        }
        let mut commands = Vec::new();
        for run in aborted {
            // With the start as its time, the verdict is the same at every entry.
            let verdict = abort_verdict("the configuration", run.start);
            commands.extend(self.apply_verdict(now, &run, &verdict));
        }
        self.update_shares(now);
        commands
    }

    /// Counts an observation of a request.
    pub fn record(&mut self, now: Timestamp, model: &Model, sample: &Sample) {
        let own = self.own.clone();
        let verdicts = &self.verdicts;
        let found = self.runs.iter_mut().find(|(_, state)| state.rule.model == *model);
        let Some((run, state)) = found else {
            return;
        };
        let is_over = verdicts.get(run).is_some_and(Verdict::is_final);
        if let (false, Some(interval)) = (is_over, state.schedule.interval(now)) {
            state.evidence.record(&own, sample, interval);
            state.is_changed = true;
        }
    }

    /// Evaluates all runs that have new evidence and updates the shares.
    pub fn evaluate(&mut self, now: Timestamp) -> Vec<Command> {
        let mut found = Vec::new();
        for (run, state) in &mut self.runs {
            let verdict = self.verdicts.get(run).unwrap_or(&Verdict::Running);
            state.evidence.publish(&self.own, now);
            if verdict.is_final() || !std::mem::take(&mut state.is_changed) {
                continue;
            }
            if let Some(reason) = judge(&state.evidence, &state.schedule, now) {
                found.push((run.clone(), Verdict::Reversed { at: now, reason }));
            } else if Share::of(&state.schedule, now, &state.evidence, verdict).is_complete {
                found.push((run.clone(), Verdict::Done { at: now }));
            }
        }
        let decided = found
            .into_iter()
            .filter_map(|(run, verdict)| self.apply_verdict(now, &run, &verdict))
            .collect();
        self.update_shares(now);
        decided
    }

    /// Returns the version and targets for a request, or `None` if the model has no rollout.
    pub fn choose(&self, model: &Model, request: &[u8]) -> Option<Choice<'_>> {
        let (_, state) = self.runs.iter().find(|(_, state)| state.rule.model == *model)?;
        if self.is_synchronized && state.share.includes(request) {
            return Some(Choice {
                version: &state.rule.to,
                targets: first_targets(&state.new, state.share.new_targets),
            });
        }
        Some(Choice {
            version: &state.rule.from,
            targets: first_targets(&state.old, state.share.old_targets),
        })
    }

    /// Returns the targets of a version that its current share allows, or `None` outside a rollout.
    pub fn active_targets(&self, model: &Model, version: &Version) -> Option<&[Target]> {
        let state = self.runs.values().find(|state| state.rule.model == *model)?;
        match self.side(model, version)? {
            // Requests stay on the version they started with. After a reversal, any target of that version may finish
            // them.
            Side::New if state.share.new_targets == 0 => Some(&state.new),
            Side::New => Some(first_targets(&state.new, state.share.new_targets)),
            Side::Old => Some(first_targets(&state.old, state.share.old_targets)),
        }
    }

    /// Returns the side of a version in the rollout of the model.
    pub fn side(&self, model: &Model, version: &Version) -> Option<Side> {
        let state = self.runs.values().find(|state| state.rule.model == *model)?;
        match version {
            version if *version == state.rule.from => Some(Side::Old),
            version if *version == state.rule.to => Some(Side::New),
            _ => None,
        }
    }

    /// Aborts a rollout on behalf of an operator; returns `None` if there is no such rollout.
    pub fn abort(&mut self, now: Timestamp, rollout: &Rollout, author: &str) -> Option<Vec<Command>> {
        let run = self.runs.keys().find(|run| run.rollout == *rollout)?.clone();
        Some(
            self.apply_verdict(now, &run, &abort_verdict(author, now))
                .into_iter()
                .collect(),
        )
    }

    /// Merges a verdict from a peer or the platform; a change is broadcast.
    pub fn merge_verdict(&mut self, now: Timestamp, run: &Run, verdict: &Verdict) -> Option<Command> {
        self.apply_verdict(now, run, verdict)
    }

    /// Returns the revisions that this entry has.
    pub fn known(&self) -> Known {
        let runs = self.runs.iter().map(|(run, state)| {
            let revisions = state.evidence.revisions();
            let revisions = revisions.map(|(origin, side, revision)| (origin.clone(), side, revision));
            (run.clone(), revisions.collect())
        });
        Known(runs.collect())
    }

    /// Returns the changes that another entry lacks, with up to about `max_bytes` of evidence.
    ///
    /// Runs missing from `known` are omitted, because the other entry does not have their configuration yet.
    pub fn delta(&self, known: &Known, max_bytes: usize) -> Delta {
        let mut budget = max_bytes;
        let mut cells = Vec::new();
        for (run, revisions) in &known.0 {
            let Some(own) = self.runs.get(run) else {
                continue;
            };
            for (origin, ledger, since) in own.newer_ledgers(revisions) {
                let fitting = ledger.since(since).take_while(|cell| {
                    let bytes = serde_json::to_vec(cell).map_or(usize::MAX, |bytes| bytes.len());
                    let fits = bytes <= budget;
                    budget = budget.saturating_sub(bytes);
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

    /// Applies a delta from a peer.
    pub fn apply(&mut self, now: Timestamp, delta: &Delta) -> Vec<Command> {
        for (run, origin, cells) in &delta.cells {
            // This entry's own counters are authoritative here.
            if let (Some(state), true) = (self.runs.get_mut(run), *origin != self.own) {
                for cell in cells {
                    state.evidence.merge(origin, cell);
                }
                state.is_changed = true;
            }
        }
        let verdicts = delta.verdicts.iter();
        verdicts
            .filter_map(|(run, verdict)| self.apply_verdict(now, run, verdict))
            .collect()
    }

    /// Returns a hash of evidence and verdicts; entries with equal hashes have nothing to exchange.
    pub fn state_hash(&self) -> u64 {
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
        let mut state_hash = [0; 8];
        hasher.finalize_xof().fill(&mut state_hash);
        u64::from_le_bytes(state_hash)
    }

    /// Returns the final verdicts.
    pub fn verdicts(&self) -> impl Iterator<Item = (&Run, &Verdict)> {
        self.verdicts.iter()
    }

    /// Returns the state of all configured rollouts.
    pub fn reports(&self) -> Vec<Report> {
        let reports = self.runs.iter().map(|(run, state)| {
            let verdict = self.verdicts.get(run).cloned().unwrap_or_default();
            state.report(run, verdict)
        });
        reports.collect()
    }

    fn apply_verdict(&mut self, now: Timestamp, run: &Run, verdict: &Verdict) -> Option<Command> {
        if !verdict.is_final() {
            return None;
        }
        let own = self.verdicts.entry(run.clone()).or_default();
        if !own.merge(verdict) {
            return None;
        }
        let verdict = own.clone();
        self.update_shares(now);
        Some(Command::Broadcast(run.clone(), verdict))
    }

    fn update_shares(&mut self, now: Timestamp) {
        for (run, state) in &mut self.runs {
            let verdict = self.verdicts.get(run).unwrap_or(&Verdict::Running);
            state.share = Share::of(&state.schedule, now, &state.evidence, verdict);
        }
    }
}

impl State {
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

    /// Returns the ledgers with changes that another entry lacks, sorted by new version first, then by most changes.
    fn newer_ledgers<'a>(&'a self, known: &[(Origin, Side, u64)]) -> Vec<(&'a Origin, &'a Ledger, u64)> {
        let known = known
            .iter()
            .map(|(origin, side, revision)| ((origin, *side), *revision));
        let known = known.collect::<BTreeMap<_, _>>();
        let ledgers = self.evidence.ledgers().map(|(origin, side, ledger)| {
            let since = known.get(&(origin, side)).copied().unwrap_or(0);
            (side, ledger.revision().saturating_sub(since), origin, ledger, since)
        });
        let mut newer_ledgers = ledgers.filter(|(_, gap, ..)| *gap > 0).collect::<Vec<_>>();
        newer_ledgers.sort_by_key(|(side, gap, ..)| std::cmp::Reverse((*side, *gap)));
        newer_ledgers
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

fn abort_verdict(author: &str, at: Timestamp) -> Verdict {
    Verdict::Reversed {
        at,
        reason: Reason {
            metric: Metric::Aborted(author.to_owned()),
            route: None,
            new: Rate::default(),
            old: Rate::default(),
        },
    }
}

fn first_targets(targets: &[Target], count: u32) -> &[Target] {
    let count = usize::try_from(count).unwrap_or(usize::MAX);
    &targets[..count.min(targets.len())]
}
