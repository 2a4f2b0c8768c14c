//! Which version serves a new request, and what is observed of it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::config::{Digest, Document};
use hawthornpost_core::id::{Account, Model, Request, Rollout, Route as Group, Target, Version};
use hawthornpost_core::platform::Plural;
use hawthornpost_core::rollout::{self, Board, Command, Delta, Known, Outcome, Report, Run, Sample, Verdict};
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

/// How often evidence is judged and shares are computed.
const JUDGE_INTERVAL: Duration = Duration::from_millis(500);
/// Verdicts that the platform may not have are written this often until it has them.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Gaps between tokens are averaged over this many, because neighbouring gaps of one stream are not independent.
const GAP_TOKENS: u32 = 64;

/// Chooses versions and keeps the evidence for rollouts.
#[derive(Debug)]
pub struct Rollouts {
    context: Rc<Context>,
    board: RefCell<Board>,
    gaps: RefCell<BTreeMap<(Account, Target), Gaps>>,
    unwritten: RefCell<BTreeMap<Run, Verdict>>,
}

/// Where an observation was made.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'a> {
    /// The account of the request; accounts and models make up the routes that are judged one by one.
    pub account: &'a Account,
    /// The model.
    pub model: &'a Model,
    /// The version that served.
    pub version: &'a Version,
    /// The target that served.
    pub target: &'a Target,
}

/// What was observed of one attempt at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The attempt was sent.
    Started,
    /// The first token came after this time.
    FirstToken(Duration),
    /// A further token came this long after the one before it.
    Gap(Duration),
    /// The target could not be reached, fell silent or broke the connection.
    Lost,
    /// The target answered with an error.
    Failed,
    /// The answer is whole.
    Finished,
}

/// Gaps that are not counted yet.
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
        if let Some(choice) = self.board.borrow().choose(model, request.as_bytes()) {
            return Some(choice.version.clone());
        }
        let document = self.context.part::<Current>().document();
        document.rules.models.get(model).map(|rule| rule.version.clone())
    }

    /// Returns whether a target may be used for a version; in a rollout a small share goes to few targets, so that
    /// each carries a whole load.
    pub fn is_in_use(&self, model: &Model, version: &Version, target: &Target) -> bool {
        let board = self.board.borrow();
        board
            .in_use(model, version)
            .is_none_or(|targets| targets.contains(target))
    }

    /// Records an observation.
    pub fn observe(&self, origin: Origin<'_>, observation: Observation) {
        match observation {
            Observation::Started => {}
            Observation::FirstToken(time) => self.record(origin, Outcome::FirstToken(millis(time))),
            Observation::Gap(time) => self.gap(origin, time),
            Observation::Lost => self.record(origin, Outcome::EngineDied),
            Observation::Failed => self.record(origin, Outcome::Failed),
            Observation::Finished => self.record(origin, Outcome::Served),
        }
    }

    fn gap(&self, origin: Origin<'_>, time: Duration) {
        let key = (origin.account.clone(), origin.target.clone());
        let mut all = self.gaps.borrow_mut();
        let gaps = all.entry(key).or_default();
        gaps.tokens += 1;
        gaps.sum += time;
        if gaps.tokens >= GAP_TOKENS {
            let mean = Outcome::Gap(millis(gaps.sum / gaps.tokens), gaps.tokens);
            *gaps = Gaps::default();
            drop(all);
            self.record(origin, mean);
        }
    }

    fn record(&self, origin: Origin<'_>, outcome: Outcome) {
        let mut board = self.board.borrow_mut();
        let Some(side) = board.side(origin.model, origin.version) else {
            return;
        };
        // The names of accounts and routes follow the same rules.
        let Ok(route) = Group::new(origin.account) else {
            return;
        };
        let sample = Sample {
            route,
            side,
            target: origin.target.clone(),
            outcome,
        };
        board.record(Timestamp::now(), origin.model, &sample);
    }

    /// Takes a configuration version.
    pub fn configure(&self, document: &Document) {
        let commands = self.board.borrow_mut().configure(Timestamp::now(), document);
        self.carry_out(commands);
    }

    /// Returns the evidence that this entry host has.
    pub fn known(&self) -> Known {
        self.board.borrow().known()
    }

    /// Returns a hash of evidence and verdicts.
    pub fn payload(&self) -> u64 {
        self.board.borrow().payload()
    }

    /// Returns evidence and verdicts that a peer lacks.
    pub fn delta(&self, known: &Known, max_bytes: usize) -> Delta {
        self.board.borrow().delta(known, max_bytes)
    }

    /// Takes evidence and verdicts of a peer.
    pub fn absorb(&self, delta: &Delta) {
        let commands = self.board.borrow_mut().absorb(Timestamp::now(), delta);
        self.carry_out(commands);
    }

    /// Takes verdicts of a peer or the platform.
    pub fn learn(&self, verdicts: &[(Run, Verdict)]) {
        for (run, verdict) in verdicts {
            let command = self.board.borrow_mut().learn(Timestamp::now(), run, verdict);
            self.carry_out(command.into_iter().collect());
        }
    }

    /// Notes that verdicts were read from the platform or a peer.
    pub fn set_learned(&self) {
        self.board.borrow_mut().set_learned();
    }

    /// Returns whether verdicts were read since the start.
    pub fn is_learned(&self) -> bool {
        self.board.borrow().is_learned()
    }

    fn carry_out(&self, commands: Vec<Command>) {
        for Command::Spread(run, verdict) in commands {
            let rollout = &run.rollout;
            match &verdict {
                Verdict::Reversed { reason, .. } => Event::RolloutReversed { rollout, reason }.log(),
                Verdict::Done { .. } => Event::RolloutDone { rollout }.log(),
                Verdict::Running => {}
            }
            self.unwritten.borrow_mut().insert(run.clone(), verdict.clone());
            tokio::task::spawn_local(spread(Rc::clone(&self.context), run, verdict));
        }
    }

    fn report(&self, name: &str) -> Result<Value> {
        let reports = self.board.borrow().reports();
        let found = reports.iter().find(|report| report.rollout.as_str() == name);
        found
            .map(|report| view(report, Timestamp::now()))
            .ok_or_else(|| unknown(name))
    }

    fn abort(&self, name: &str) -> Result<Value> {
        let rollout = Rollout::new(name).map_err(|_invalid| unknown(name))?;
        let commands = self.board.borrow_mut().abort(Timestamp::now(), &rollout, "an operator");
        self.carry_out(commands.ok_or_else(|| unknown(name))?);
        self.report(name)
    }
}

fn unknown(name: &str) -> Error {
    Error::not_found(
        format!("rollout {name}"),
        "use a name that GET /v1/admin/rollouts lists",
    )
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Describes a rollout to operators.
fn view(report: &Report, now: Timestamp) -> Value {
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

/// Sends a verdict to all peers at once.
async fn spread(context: Rc<Context>, run: Run, verdict: Verdict) {
    let members = context.part::<Members>();
    let calls = members.others().into_iter().map(|member| {
        let (members, verdicts) = (Rc::clone(&members), vec![(run.clone(), verdict.clone())]);
        async move { members.pull(&member.entry, verdicts).await }
    });
    futures_util::future::join_all(calls).await;
}

#[distributed_slice(PLUGINS)]
static ROLLOUTS: Plugin = Plugin {
    name: "rollouts",
    stage: Stage::Fleet,
    start,
};

#[distributed_slice(ROUTES)]
static LIST: Route = Route {
    method: || Method::GET,
    path: "/v1/admin/rollouts",
    access: Access::Operator,
    handle: |context, _| {
        Box::pin(async move {
            let reports = context.part::<Rollouts>().board.borrow().reports();
            let views = reports.iter().map(|report| view(report, Timestamp::now()));
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
            let report = context.part::<Rollouts>().report(call.parameter("name"))?;
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
            let report = context.part::<Rollouts>().abort(call.parameter("name"))?;
            Ok(http::json(&report))
        })
    },
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    let own = rollout::Origin {
        entry: context.settings().entry.name.clone(),
        incarnation: context.part::<Members>().incarnation(),
    };
    let rollouts = Rc::new(Rollouts {
        context: Rc::clone(context),
        board: RefCell::new(Board::new(own)),
        gaps: RefCell::default(),
        unwritten: RefCell::default(),
    });
    context.provide(Rc::clone(&rollouts));
    let dumped = Rc::clone(&rollouts);
    context.on_dump("rollouts", move || json!(dumped.board.borrow().reports()));
    tokio::task::spawn_local(judge(Rc::clone(&rollouts)));
    tokio::task::spawn_local(synchronize(rollouts));
    Ok(())
}

async fn judge(rollouts: Rc<Rollouts>) {
    loop {
        let commands = rollouts.board.borrow_mut().evaluate(Timestamp::now());
        rollouts.carry_out(commands);
        rollouts.context.timer().sleep(JUDGE_INTERVAL).await;
    }
}

/// Reads the verdicts of the platform once and writes those that it may lack.
async fn synchronize(rollouts: Rc<Rollouts>) {
    let client = rollouts.context.part::<platform::Client>();
    let mut is_read = false;
    loop {
        if !is_read {
            match read(&rollouts, &client).await {
                Ok(()) => {
                    is_read = true;
                    rollouts.set_learned();
                }
                Err(error) => log::debug!("cannot read the verdicts: {error}"),
            }
        }
        let unwritten = rollouts.unwritten.borrow().clone();
        for (run, verdict) in unwritten {
            match write(&client, &run, &verdict).await {
                Ok(()) => drop(rollouts.unwritten.borrow_mut().remove(&run)),
                Err(error) => log::debug!("cannot write a verdict: {error}"),
            }
        }
        rollouts.context.timer().sleep(WRITE_INTERVAL).await;
    }
}

async fn read(rollouts: &Rollouts, client: &platform::Client) -> Result<()> {
    for Stored { run, verdict } in client.list(Plural::Verdicts).await? {
        rollouts.learn(&[(run, verdict)]);
    }
    Ok(())
}

/// Writes a verdict unless the platform has a stronger one.
async fn write(client: &platform::Client, run: &Run, verdict: &Verdict) -> Result<()> {
    let name = Digest::of(format!("{run:?}")).to_string();
    let existing = client.get::<Stored>(Plural::Verdicts, &name).await?;
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
    let written = client.put(Plural::Verdicts, &name, base, &stored).await;
    written.map(drop).map_err(|failure| {
        Error::failed(
            format!("the verdict is not written: {failure:?}"),
            "it is read and written again",
        )
    })
}
