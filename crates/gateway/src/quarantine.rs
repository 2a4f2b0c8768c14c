//! Quarantine of prompt parts that crash the engines that begin to answer them.
//!
//! A part is suspected when requests with it were waiting for their first event at several crashes, and cleared when an
//! engine sends the first event of a request with it. Parts that always came together are suspected together, so that
//! requests with only some of them are served and clear these. Hosts tell each other crashes and cleared parts at once
//! and repeat the evidence at intervals, because a single host sees few of these requests. The module does no I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::duration::millis;
use crate::prompt::{Part, Parts};
pub use crate::quarantine_evidence::{Crash, Record};

use crate::quarantine_evidence::Evidence;

/// The maximum number of parts with evidence.
const MAX_PARTS: usize = 256;
/// The maximum number of parts in a [`Snapshot`].
const MAX_RECORDS: usize = 12;
/// The lifetime of evidence that is not sufficient.
const SUSPICION_TTL: Duration = Duration::from_secs(120);
/// How long parts remain cleared of crashes that another host reports late.
const CLEARED_TTL: Duration = Duration::from_secs(10);
/// The time without requests and crashes after which one request is let through.
const QUIET_PERIOD: Duration = Duration::from_secs(30);
/// The time since the last crash after which one request is let through although requests kept coming.
const MAX_PERIOD: Duration = Duration::from_secs(300);
/// The same while a coincidence is not excluded, so that a sound part is soon served again.
const WEAK_PERIOD: Duration = Duration::from_secs(4);

/// The parts that crash engines, as far as a host knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    evidence: BTreeMap<Part, Evidence>,
    cleared: BTreeMap<Part, Instant>,
}

/// What is done with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No part is quarantined.
    Allowed,
    /// The request is let through to find out whether these parts still crash engines.
    Trial(Parts),
    /// The part is quarantined.
    Refused(Part),
}

/// What a host tells the others at intervals.
#[serde_as]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    records: Vec<Record>,
    #[serde_as(as = "Vec<(_, DurationMilliSeconds<u64>)>")]
    cleared: Vec<(Part, Duration)>,
}

impl Quarantine {
    /// Records a crash at which a request with these parts was waiting for its first event.
    pub fn record_crash(&mut self, now: Instant, crash: &Crash, parts: &Parts) {
        self.expire(now);
        for part in parts {
            self.make_room(part);
            let evidence = self.evidence.entry(part.clone());
            let evidence = evidence.or_insert_with(|| Evidence::new(now, parts));
            evidence.narrow(parts);
            evidence.add(crash, now);
        }
    }

    /// Records that an engine has begun to answer these parts. Returns those that had been suspected.
    pub fn record_begun(&mut self, now: Instant, parts: &Parts) -> Parts {
        let suspected = parts.iter().filter(|part| self.evidence.contains_key(part));
        let suspected = suspected.cloned().collect::<Parts>();
        self.clear(now, &suspected);
        suspected
    }

    /// Drops the evidence against parts that an engine has begun to answer.
    pub fn clear(&mut self, now: Instant, parts: &Parts) {
        for part in parts {
            self.clear_until(part, now);
        }
    }

    /// Returns the part because of which a request must not be sent; `request` is [`Crash::request`].
    pub fn quarantined(&self, request: &str, parts: &Parts) -> Option<Part> {
        self.guilty(request, parts).next().cloned()
    }

    /// Returns the parts because of which a request must not be sent.
    fn guilty<'a>(&'a self, request: &'a str, parts: &'a Parts) -> impl Iterator<Item = &'a Part> {
        let is_guilty = move |part: &&Part| {
            self.evidence.get(part).is_some_and(|evidence| {
                evidence.is_sufficient(request)
                    && evidence.context.is_subset(parts)
                    && !self.has_better_explanation(evidence)
            })
        };
        parts.iter().filter(is_guilty)
    }

    fn has_better_explanation(&self, evidence: &Evidence) -> bool {
        let mut others = self
            .evidence
            .iter()
            .filter(|(part, _)| !evidence.context.contains(part));
        others.any(|(_, other)| other.explains(evidence))
    }

    /// Decides about a request before it is sent, and records the decision. A request is let through only when a trial of
    /// each of its quarantined parts is due.
    pub fn admit(&mut self, now: Instant, request: &str, parts: &Parts) -> Verdict {
        let guilty = self.guilty(request, parts).cloned().collect::<Parts>();
        let mut refused = None;
        for part in &guilty {
            if !self.is_trial_due(now, part) {
                refused = Some(part.clone());
            }
        }
        for part in &guilty {
            let Some(evidence) = self.evidence.get_mut(part) else {
                continue;
            };
            match refused {
                Some(_) => evidence.refused_at = Some(now),
                None => evidence.trial_at = Some(now),
            }
        }
        match refused {
            Some(part) => Verdict::Refused(part),
            None if guilty.is_empty() => Verdict::Allowed,
            None => Verdict::Trial(guilty),
        }
    }

    fn is_trial_due(&self, now: Instant, part: &Part) -> bool {
        let Some(evidence) = self.evidence.get(part) else {
            return true;
        };
        let last_crash = Some(evidence.crashed_at).max(evidence.trial_at).unwrap_or_default();
        let last_request = Some(last_crash).max(evidence.refused_at).unwrap_or_default();
        let max_period = if evidence.is_weak() { WEAK_PERIOD } else { MAX_PERIOD };
        now.since(last_request) >= QUIET_PERIOD || now.since(last_crash) >= max_period
    }

    /// Returns the evidence for other hosts; `None` if there is none.
    pub fn snapshot(&mut self, now: Instant) -> Option<Snapshot> {
        self.expire(now);
        if self.evidence.is_empty() {
            return None;
        }
        let mut ranked = self.evidence.iter().collect::<Vec<_>>();
        ranked.sort_by_key(|(_, evidence)| std::cmp::Reverse((evidence.crashes(), evidence.crashed_at)));
        let records = ranked.into_iter().take(MAX_RECORDS);
        let cleared = self.cleared.iter().take(MAX_RECORDS);
        Some(Snapshot {
            records: records.map(|(part, evidence)| evidence.record(now, part)).collect(),
            cleared: cleared.map(|(part, at)| (part.clone(), now.since(*at))).collect(),
        })
    }

    /// Returns the message for all other hosts that a request with a part is tried.
    pub fn trial(&self, now: Instant, part: &Part) -> Snapshot {
        let evidence = self.evidence.get(part);
        Snapshot {
            records: evidence
                .map(|evidence| evidence.trial_record(now, part))
                .into_iter()
                .collect(),
            cleared: Vec::new(),
        }
    }

    /// Adds the evidence of another host.
    pub fn merge(&mut self, now: Instant, snapshot: &Snapshot) {
        for (part, age) in &snapshot.cleared {
            let at = Instant::from_start(now.since_start().saturating_sub(*age));
            self.clear_until(part, at);
        }
        for record in &snapshot.records {
            self.merge_record(now, record);
        }
        self.expire(now);
    }

    /// Drops the evidence against a part up to a time.
    fn clear_until(&mut self, part: &Part, limit: Instant) {
        if self.cleared.len() < MAX_PARTS {
            let known = self.cleared.entry(part.clone()).or_insert(limit);
            *known = limit.max(*known);
        }
        for (other, evidence) in &mut self.evidence {
            if other != part {
                evidence.context.remove(part);
            }
        }
        let Some(evidence) = self.evidence.get_mut(part) else {
            return;
        };
        if !evidence.remove_until(limit) {
            self.evidence.remove(part);
        }
    }

    fn merge_record(&mut self, now: Instant, record: &Record) {
        self.make_room(&record.part);
        let known = self.evidence.get(&record.part).cloned();
        let mut evidence = known.unwrap_or_else(|| Evidence::unmerged(record));
        evidence.merge(now, record);
        let cleared = self.cleared.get(&record.part);
        if cleared.is_none_or(|at| evidence.remove_until(*at)) {
            let is_suspect = |part: &Part| *part == record.part || !self.cleared.contains_key(part);
            evidence.context.retain(is_suspect);
            self.evidence.insert(record.part.clone(), evidence);
        }
    }

    /// Returns the evidence for the state dump.
    pub fn dump(&self, now: Instant) -> Value {
        let entry = |(part, evidence): (&Part, &Evidence)| {
            json!({
                "part": part,
                "crashes": evidence.crashes(),
                "quarantined": evidence.is_conclusive() && !self.has_better_explanation(evidence),
                "only_with": evidence.context,
                "last_crash_ms": millis(now.since(evidence.crashed_at)),
                "last_refused_ms": evidence.refused_at.map(|at| millis(now.since(at))),
            })
        };
        self.evidence.iter().map(entry).collect()
    }

    /// Evicts the weakest evidence if there is no room for another part.
    fn make_room(&mut self, part: &Part) {
        if self.evidence.len() < MAX_PARTS || self.evidence.contains_key(part) {
            return;
        }
        let weakest = self.evidence.iter();
        let weakest = weakest.min_by_key(|(_, evidence)| (evidence.crashes(), evidence.crashed_at));
        if let Some(weakest) = weakest.map(|(part, _)| part.clone()) {
            self.evidence.remove(&weakest);
        }
    }

    fn expire(&mut self, now: Instant) {
        self.cleared.retain(|_, at| now.since(*at) < CLEARED_TTL);
        self.evidence
            .retain(|_, evidence| evidence.is_conclusive() || now.since(evidence.crashed_at) < SUSPICION_TTL);
    }
}
