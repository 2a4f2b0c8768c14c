//! What this entry host knows of its targets: room, load, prompt caches, answer lengths and retries.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{Entry, Model, Target};
use hawthornpost_core::inventory::Role;
use hawthornpost_core::limit::{Gate, Lengths, Sharer, Timing};
use hawthornpost_core::prefix::{self, Index};
use hawthornpost_core::retry::Budget;
use hawthornpost_core::route::{Ask, Candidate, Costs, Router, Subset};
use hawthornpost_core::wire::Load;
use hyper::Method;
use hyper::StatusCode;
use linkme::distributed_slice;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;

use crate::client;
use crate::configuration::Current;
use crate::error::Result;
use crate::kernel::Context;
use crate::leaving::{Leaving, Source};
use crate::members::Members;
use crate::plugin::{PLUGINS, Plugin, Stage};

/// How often the loop shows that it is not paused and looks for changed members.
const TURN: Duration = Duration::from_millis(200);
/// The shortest time between two questions to the same target.
const POLL: Duration = Duration::from_millis(250);
/// The time limit of one question.
const POLL_LIMIT: Duration = Duration::from_millis(500);
/// The time between two questions of this process. It keeps the questions to 230 targets, of about 400 bytes each,
/// below the network bound of an entry host.
const POLL_SPACING: Duration = Duration::from_millis(16);
/// The age of a member that was there when this process started; it is longer than any hold time.
const SETTLED: Duration = Duration::from_secs(86_400);

/// The state that decides about targets.
#[derive(Debug)]
pub struct State {
    /// Room and account shares.
    pub gate: Gate,
    /// Load and own work.
    pub router: Router,
    /// Prompt caches.
    pub index: Index,
    /// Answer lengths.
    pub lengths: Lengths,
    /// Retries.
    pub budget: Budget,
    /// Randomness of the choice.
    pub rng: SmallRng,
    /// The engines that this entry host uses.
    targets: BTreeMap<Target, SocketAddr>,
    /// Since when each other entry host is known.
    seen: BTreeMap<Entry, Option<Instant>>,
    /// The members and the configuration version that the subset was computed from.
    basis: (BTreeSet<Entry>, u64),
}

/// Owns the state and keeps it up to date.
#[derive(Debug)]
pub struct Limits {
    context: Rc<Context>,
    state: RefCell<State>,
    ready: Cell<Instant>,
}

impl Limits {
    /// Returns the state.
    pub fn state(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    /// Returns whether targets have room for this entry host; after a start or a pause it waits until the others know it.
    pub fn is_ready(&self) -> bool {
        self.wait_left().is_zero()
    }

    /// Returns how long this entry host waits until it has room at targets.
    pub fn wait_left(&self) -> Duration {
        self.refresh();
        let now = self.context.timer().now();
        let wait = self.state.borrow().gate.wait_left(now);
        wait.max(self.ready.get().since(now))
    }

    /// Brings targets and sharers up to date when the members or the configuration have changed.
    pub fn refresh(&self) {
        let now = self.context.timer().now();
        let others = self.context.part::<Members>().others();
        let others = others.into_iter().map(|member| member.entry).collect::<BTreeSet<_>>();
        let document = self.context.part::<Current>().document();
        let mut state = self.state.borrow_mut();
        state.gate.turn(now);
        let basis = (others, document.version);
        if state.basis == basis {
            return;
        }
        if state.basis.1 == 0 && document.version > 0 && state.gate.timing().floor > 1 {
            // The first targets settle as any new ones do.
            let settled = now + state.gate.timing().settle;
            self.ready.set(self.ready.get().max(settled));
        }
        state.learn(now, &basis.0, self.context.settings().room.timing);
        let own = self.context.settings().entry.name.clone();
        let subset = Subset {
            sharers: self.context.settings().room.sharers,
        };
        let mut models = BTreeMap::<&Model, Vec<&Target>>::new();
        for (target, item) in document.inventory.iter() {
            if let Role::Engine { model, .. } = &item.role {
                models.entry(model).or_default().push(target);
            }
        }
        let entries = basis.0.iter().chain([&own]).collect::<Vec<_>>();
        let mut kept = BTreeMap::new();
        for (model, targets) in models {
            for (target, sharers) in subset.assign(&targets, &entries) {
                if !sharers.contains(&&own) {
                    continue;
                }
                let Some(item) = document.inventory.get(target) else {
                    continue;
                };
                if let Role::Engine { capacity_tokens, .. } = item.role {
                    kept.insert(target.clone(), item.address);
                    state.gate.add(now, target, model, capacity_tokens);
                    state.observe(now, target, sharers.into_iter().filter(|entry| **entry != own));
                }
            }
        }
        state.keep(kept, |target| document.inventory.get(target).is_some());
        state.basis = basis;
    }
}

impl State {
    /// Notes since when the other entry hosts are known. Those that are seen soon after the start were there before.
    fn learn(&mut self, now: Instant, others: &BTreeSet<Entry>, timing: Timing) {
        let is_start = now.since_start() < timing.settle;
        for entry in others {
            self.seen.entry(entry.clone()).or_insert((!is_start).then_some(now));
        }
        self.seen.retain(|entry, _| others.contains(entry));
    }

    fn observe<'a>(&mut self, now: Instant, target: &Target, others: impl Iterator<Item = &'a Entry>) {
        let age = |entry: &Entry| match self.seen.get(entry) {
            Some(Some(since)) => now.since(*since),
            Some(None) | None => SETTLED,
        };
        let view = others.map(|entry| Sharer {
            entry: entry.clone(),
            age: age(entry),
        });
        let view = view.collect::<Vec<_>>();
        self.gate.observe(now, target, &view);
    }

    /// Drops the targets that this entry host no longer uses.
    fn keep(&mut self, kept: BTreeMap<Target, SocketAddr>, is_known: impl Fn(&Target) -> bool) {
        for target in self.targets.keys().filter(|target| !kept.contains_key(*target)) {
            self.gate.remove(target);
            self.index.forget(target);
        }
        self.router.retain(is_known);
        self.targets = kept;
    }

    /// Returns the candidates that may be used, best first.
    pub fn rank<'a>(&mut self, now: Instant, ask: &Ask<'_>, candidates: Vec<Candidate<'a>>) -> Vec<&'a Target> {
        self.router.rank(now, ask, candidates, &self.index, &mut self.rng)
    }

    /// Returns the tokens of a prompt that a target has to compute.
    pub fn uncached(&self, ask: &Ask<'_>, target: &Target) -> u64 {
        self.router.uncached(ask, target, &self.index)
    }

    fn report(&mut self, now: Instant, target: &Target, load: &Load) {
        if self.router.has_restarted(target, load) {
            self.index.forget(target);
        }
        self.router.report(now, target, load);
        self.gate.report(now, target, load);
    }
}

#[distributed_slice(PLUGINS)]
static LIMITS: Plugin = Plugin {
    name: "limits",
    stage: Stage::Work,
    start,
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    let settings = context.settings();
    let now = context.timer().now();
    // Seeds are the entry hosts of the deployment; an entry host that does not see them yet must not take their shares.
    let known = settings.peers.seeds.len().saturating_add(1).min(settings.room.sharers);
    let timing = Timing {
        floor: u32::try_from(known).unwrap_or(u32::MAX),
        ..settings.room.timing
    };
    let wait = if known > 1 {
        timing.rise.max(timing.settle)
    } else {
        Duration::ZERO
    };
    let state = State {
        gate: Gate::new(now, timing),
        router: Router::new(Costs::default()),
        index: Index::default(),
        lengths: Lengths::default(),
        budget: Budget::default(),
        rng: SmallRng::seed_from_u64(rand::random()),
        targets: BTreeMap::new(),
        seen: BTreeMap::new(),
        basis: (BTreeSet::new(), 0),
    };
    let limits = Rc::new(Limits {
        context: Rc::clone(context),
        state: RefCell::new(state),
        ready: Cell::new(now + wait),
    });
    context.provide(Rc::clone(&limits));
    let dumped = Rc::clone(&limits);
    context.on_dump("limits", move || dumped.dump());
    tokio::task::spawn_local(turn(Rc::clone(&limits)));
    tokio::task::spawn_local(poll(limits));
    Ok(())
}

impl Limits {
    fn dump(&self) -> serde_json::Value {
        let is_ready = self.is_ready();
        let now = self.context.timer().now();
        let state = self.state.borrow();
        let target = |target: &Target| {
            let room = json!({
                "bound": state.gate.bound(now, target),
                "held": state.gate.held(target),
                "charged": state.gate.charged(target),
                "outstanding": state.router.outstanding(target),
            });
            (target.to_string(), room)
        };
        let targets = state.targets.keys().map(target).collect::<serde_json::Map<_, _>>();
        json!({ "ready": is_ready, "targets": targets, "prefix_blocks": state.index.len() })
    }
}

async fn turn(limits: Rc<Limits>) {
    loop {
        limits.refresh();
        limits.context.timer().sleep(TURN).await;
    }
}

/// Asks the targets for their load and cache events, one after the other.
async fn poll(limits: Rc<Limits>) {
    let timer = limits.context.timer();
    loop {
        let targets = limits.state().targets.clone();
        let spacing = POLL_SPACING * u32::try_from(targets.len()).unwrap_or(u32::MAX);
        for (target, address) in targets {
            let limits = Rc::clone(&limits);
            tokio::task::spawn_local(async move { ask(&limits, &target, address).await });
            timer.sleep(POLL_SPACING).await;
        }
        timer.sleep(POLL.saturating_sub(spacing)).await;
    }
}

async fn ask(limits: &Limits, target: &Target, address: SocketAddr) {
    let timer = limits.context.timer();
    let request = client::request(Method::GET, "/v1/load");
    let Ok((status, body)) = client::exchange(timer, POLL_LIMIT, address, request).await else {
        return;
    };
    // A target that answers 503 to a question for its load takes no work either.
    let leaving = status == StatusCode::SERVICE_UNAVAILABLE;
    limits.context.part::<Leaving>().note(target, Source::Target, leaving);
    if let (true, Ok(load)) = (status.is_success(), client::decode::<Load>(address, &body)) {
        limits.state().report(timer.now(), target, &load);
    }
    ask_cache(limits, target, address).await;
}

async fn ask_cache(limits: &Limits, target: &Target, address: SocketAddr) {
    let timer = limits.context.timer();
    let from = limits.state().index.next(target);
    let request = client::request(Method::GET, format!("/v1/cache-events?from={from}"));
    let Ok((StatusCode::OK, body)) = client::exchange(timer, POLL_LIMIT, address, request).await else {
        return;
    };
    let mut state = limits.state();
    for line in body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
        match client::decode::<prefix::Event>(address, line) {
            Ok(event) => state.index.observe(timer.now(), target, &event),
            Err(error) => log::debug!("{error}"),
        }
    }
}
