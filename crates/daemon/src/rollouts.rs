//! Selection of the model version for new requests, and collection of the samples that rollouts are evaluated by.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::config::{Digest, Document};
use hawthornpost_core::id::{Account, Model, Request, Rollout, Route as Group, Target, Version};
use hawthornpost_core::platform::Resource;
use hawthornpost_core::rollout::{self, Command, Delta, Known, Outcome, Registry, Report, Run, Sample, Verdict};
use hyper::Method;
use jiff::Timestamp;
use linkme::distributed_slice;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::access::Access;
use crate::configuration::Current;
use crate::error::{Error, Result};
use crate::event::Event;
use crate::http::{self, ROUTES, Route};
use crate::kernel::Context;
use crate::members::Members;
use crate::platform;
use crate::plugin::{PLUGINS, Plugin, Stage};

/// How often the samples are evaluated and the traffic shares are computed.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which verdicts that the platform may lack are written until it has stored them.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// The number of tokens over which gaps are averaged into one sample, because consecutive gaps of a stream are not
/// independent.
const GAP_BATCH_TOKENS: u32 = 64;

/// Selects versions and stores the samples of rollouts.
#[derive(Debug)]
pub struct Rollouts {
    context: Rc<Context>,
    registry: RefCell<Registry>,
    gaps: RefCell<BTreeMap<(Account, Target), Gaps>>,
    unwritten: RefCell<BTreeMap<Run, Verdict>>,
}

/// The request and target that an observation belongs to.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'a> {
    /// The account of the request. Each combination of account and model is a route, and routes are evaluated
    /// separately.
    pub account: &'a Account,
    /// The model.
    pub model: &'a Model,
    /// The version that served the request.
    pub version: &'a Version,
    /// The target that served the request.
    pub target: &'a Target,
}

/// An observation of one attempt at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The attempt was sent.
    Started,
    /// The first token arrived after this time.
    FirstToken(Duration),
    /// A further token arrived this long after the previous one.
    Gap(Duration),
    /// The target was unreachable, stopped responding or closed the connection.
    Lost,
    /// The target returned an error.
    Failed,
    /// The answer is complete.
    Finished,
}

/// Gaps that have not been recorded as a sample yet.
#[derive(Clone, Copy, Debug, Default)]
struct Gaps {
    tokens: u32,
    sum: Duration,
}

/// The stored form of a verdict.
#[derive(Debug, Serialize, Deserialize)]
struct Stored {
    run: Run,
    verdict: Verdict,
}

impl Rollouts {
    /// Returns the version that serves a new request for a model, if the model is known.
    pub fn version(&self, model: &Model, request: Request) -> Option<Version> {
        if let Some(choice) = self.registry.borrow().choose(model, request.as_bytes()) {
            return Some(choice.version.clone());
        }
        let document = self.context.component::<Current>().document();
        document.rules.models.get(model).map(|rule| rule.version.clone())
    }

    /// Returns whether a target may be used for a version. In a rollout, a small share of the traffic is sent to few
    /// targets, so that each of them runs at full load.
    pub fn is_in_use(&self, model: &Model, version: &Version, target: &Target) -> bool {
        let registry = self.registry.borrow();
        registry
            .active_targets(model, version)
            .is_none_or(|targets| targets.contains(target))
    }

    /// Records an observation.
    pub fn observe(&self, origin: Origin<'_>, observation: Observation) {
        match observation {
            Observation::Started => {}
            Observation::FirstToken(time) => self.record(origin, Outcome::FirstToken(millis(time))),
            Observation::Gap(time) => self.record_gap(origin, time),
            Observation::Lost => self.record(origin, Outcome::EngineDied),
            Observation::Failed => self.record(origin, Outcome::Failed),
            Observation::Finished => self.record(origin, Outcome::Served),
        }
    }

    fn record_gap(&self, origin: Origin<'_>, time: Duration) {
        let key = (origin.account.clone(), origin.target.clone());
        let mut all = self.gaps.borrow_mut();
        let gaps = all.entry(key).or_default();
        gaps.tokens += 1;
        gaps.sum += time;
        if gaps.tokens >= GAP_BATCH_TOKENS {
            let mean = Outcome::Gap(millis(gaps.sum / gaps.tokens), gaps.tokens);
            *gaps = Gaps::default();
            drop(all);
            self.record(origin, mean);
        }
    }

    fn record(&self, origin: Origin<'_>, outcome: Outcome) {
        let mut registry = self.registry.borrow_mut();
        let Some(side) = registry.side(origin.model, origin.version) else {
            return;
        };
        // Account names are valid route names.
        let Ok(route) = Group::new(origin.account) else {
            return;
        };
        let sample = Sample {
            route,
            side,
            target: origin.target.clone(),
            outcome,
        };
        registry.record(Timestamp::now(), origin.model, &sample);
    }

    /// Applies a configuration version.
    pub fn configure(&self, document: &Document) {
        let commands = self.registry.borrow_mut().configure(Timestamp::now(), document);
        self.execute(commands);
    }

    /// Returns a summary of the samples that this entry host has.
    pub fn known(&self) -> Known {
        self.registry.borrow().known()
    }

    /// Returns a hash of the samples and verdicts.
    pub fn payload_hash(&self) -> u64 {
        self.registry.borrow().state_hash()
    }

    /// Returns the samples and verdicts that a peer lacks.
    pub fn delta(&self, known: &Known, max_bytes: usize) -> Delta {
        self.registry.borrow().delta(known, max_bytes)
    }

    /// Merges samples and verdicts of a peer.
    pub fn merge(&self, delta: &Delta) {
        let commands = self.registry.borrow_mut().apply(Timestamp::now(), delta);
        self.execute(commands);
    }

    /// Merges verdicts of a peer or the platform.
    pub fn merge_verdicts(&self, verdicts: &[(Run, Verdict)]) {
        for (run, verdict) in verdicts {
            let command = self.registry.borrow_mut().merge_verdict(Timestamp::now(), run, verdict);
            self.execute(command.into_iter().collect());
        }
    }

    /// Records that verdicts were read from the platform or a peer.
    pub fn mark_synchronized(&self) {
        self.registry.borrow_mut().set_synchronized();
    }

    /// Returns whether verdicts have been read since the start of the process.
    pub fn is_synchronized(&self) -> bool {
        self.registry.borrow().is_synchronized()
    }

    fn execute(&self, commands: Vec<Command>) {
        for Command::Broadcast(run, verdict) in commands {
            let rollout = &run.rollout;
            match &verdict {
                Verdict::Reversed { reason, .. } => Event::RolloutReversed { rollout, reason }.log(),
                Verdict::Done { .. } => Event::RolloutDone { rollout }.log(),
                Verdict::Running => {}
            }
            self.unwritten.borrow_mut().insert(run.clone(), verdict.clone());
            tokio::task::spawn_local(broadcast(Rc::clone(&self.context), run, verdict));
        }
    }

    fn report(&self, name: &str) -> Result<Value> {
        let reports = self.registry.borrow().reports();
        let found = reports.iter().find(|report| report.rollout.as_str() == name);
        found
            .map(|report| describe(report, Timestamp::now()))
            .ok_or_else(|| unknown_rollout(name))
    }

    fn abort(&self, name: &str) -> Result<Value> {
        let rollout = Rollout::new(name).map_err(|_invalid| unknown_rollout(name))?;
        let commands = self
            .registry
            .borrow_mut()
            .abort(Timestamp::now(), &rollout, "an operator");
        self.execute(commands.ok_or_else(|| unknown_rollout(name))?);
        self.report(name)
    }
}

fn unknown_rollout(name: &str) -> Error {
    Error::not_found(
        format!("rollout {name}"),
        "use a name that GET /v1/admin/rollouts lists",
    )
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Builds the description of a rollout for operators.
fn describe(report: &Report, now: Timestamp) -> Value {
    let share = f64::from(report.share.millionths) / 1e6;
    let (state, detail) = match (&report.verdict, report.share.late) {
        (Verdict::Reversed { reason, .. }, _) => ("reversed", reason.to_string()),
        (Verdict::Done { at }, _) => (
            "done",
            format!("done at {at}; the old version stays loaded for a while"),
        ),
        (Verdict::Running, _) if now < report.start => ("waiting", format!("begins at {}", report.start)),
        (Verdict::Running, Some(end)) => (
            "late",
            format!("the deadline cannot be met: at the present rate of requests the end is {end:.0}"),
        ),
        (Verdict::Running, None) => (
            "moving",
            format!("step {} of {}", report.share.step + 1, report.share.steps),
        ),
    };
    json!({
        "name": report.rollout,
        "model": report.model,
        "from": report.from,
        "to": report.to,
        "start": report.start.to_string(),
        "deadline": report.deadline.to_string(),
        "state": state,
        "share": share,
        "detail": detail,
    })
}

/// Sends a verdict to all peers concurrently.
async fn broadcast(context: Rc<Context>, run: Run, verdict: Verdict) {
    let members = context.component::<Members>();
    let calls = members.others().into_iter().map(|member| {
        let (members, verdicts) = (Rc::clone(&members), vec![(run.clone(), verdict.clone())]);
        async move { members.pull(&member.entry, verdicts).await }
    });
    futures_util::future::join_all(calls).await;
}

#[distributed_slice(PLUGINS)]
static ROLLOUTS: Plugin = Plugin {
    name: "rollouts",
    stage: Stage::Cluster,
    start,
};

#[distributed_slice(ROUTES)]
static LIST: Route = Route {
    method: || Method::GET,
    path: "/v1/admin/rollouts",
    access: Access::Operator,
    handle: |context, _| {
        Box::pin(async move {
            let reports = context.component::<Rollouts>().registry.borrow().reports();
            let views = reports.iter().map(|report| describe(report, Timestamp::now()));
            Ok(http::json(&json!({ "rollouts": views.collect::<Vec<_>>() })))
        })
    },
};

#[distributed_slice(ROUTES)]
static SHOW: Route = Route {
    method: || Method::GET,
    path: "/v1/admin/rollouts/{name}",
    access: Access::Operator,
    handle: |context, call| {
        Box::pin(async move {
            let report = context.component::<Rollouts>().report(call.parameter("name"))?;
            Ok(http::json(&report))
        })
    },
};

#[distributed_slice(ROUTES)]
static ABORT: Route = Route {
    method: || Method::POST,
    path: "/v1/admin/rollouts/{name}/abort",
    access: Access::Operator,
    handle: |context, call| {
        Box::pin(async move {
            let report = context.component::<Rollouts>().abort(call.parameter("name"))?;
            Ok(http::json(&report))
        })
    },
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    let own = rollout::Origin {
        entry: context.settings().entry.name.clone(),
        incarnation: context.component::<Members>().incarnation(),
    };
    let rollouts = Rc::new(Rollouts {
        context: Rc::clone(context),
        registry: RefCell::new(Registry::new(own)),
        gaps: RefCell::default(),
        unwritten: RefCell::default(),
    });
    context.provide(Rc::clone(&rollouts));
    let dumped = Rc::clone(&rollouts);
    context.register_dump("rollouts", move || json!(dumped.registry.borrow().reports()));
    tokio::task::spawn_local(evaluate(Rc::clone(&rollouts)));
    tokio::task::spawn_local(synchronize(rollouts));
    Ok(())
}

async fn evaluate(rollouts: Rc<Rollouts>) {
    loop {
        let commands = rollouts.registry.borrow_mut().evaluate(Timestamp::now());
        rollouts.execute(commands);
        rollouts.context.timer().sleep(EVALUATION_INTERVAL).await;
    }
}

/// Reads the verdicts of the platform once, and repeatedly writes those that it may lack.
async fn synchronize(rollouts: Rc<Rollouts>) {
    let client = rollouts.context.component::<platform::Client>();
    let mut has_read = false;
    loop {
        if !has_read {
            match read_verdicts(&rollouts, &client).await {
                Ok(()) => {
                    has_read = true;
                    rollouts.mark_synchronized();
                }
                Err(error) => log::debug!("cannot read the rollout verdicts from the platform: {error}"),
            }
        }
        let unwritten = rollouts.unwritten.borrow().clone();
        for (run, verdict) in unwritten {
            match write_verdict(&client, &run, &verdict).await {
                Ok(()) => drop(rollouts.unwritten.borrow_mut().remove(&run)),
                Err(error) => log::debug!("cannot write the verdict of rollout {}: {error}", run.rollout),
            }
        }
        rollouts.context.timer().sleep(WRITE_INTERVAL).await;
    }
}

async fn read_verdicts(rollouts: &Rollouts, client: &platform::Client) -> Result<()> {
    for Stored { run, verdict } in client.list(Resource::Verdicts).await? {
        rollouts.merge_verdicts(&[(run, verdict)]);
    }
    Ok(())
}

/// Merges a verdict with the stored one and writes the result if it differs.
async fn write_verdict(client: &platform::Client, run: &Run, verdict: &Verdict) -> Result<()> {
    let name = Digest::of(format!("{run:?}")).to_string();
    let existing = client.get::<Stored>(Resource::Verdicts, &name).await?;
    let (base, mut merged) = match existing {
        Some((version, stored)) => (Some(version), stored.verdict),
        None => (None, Verdict::Running),
    };
    if !merged.merge(verdict) {
        return Ok(());
    }
    let stored = Stored {
        run: run.clone(),
        verdict: merged,
    };
    let written = client.put(Resource::Verdicts, &name, base, &stored).await;
    written.map(drop).map_err(|failure| {
        Error::failed(
            format!("the verdict is not written: {failure:?}"),
            "it is read and written again",
        )
    })
}
