//! State about targets: capacity, load, prompt caches, answer lengths and retry budgets.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{Entry, Model, Target};
use hawthornpost_core::inventory::Role;
use hawthornpost_core::limit::{Lengths, Limiter, Parameters, Sharer};
use hawthornpost_core::prefix::{self, Index};
use hawthornpost_core::retry::Budget;
use hawthornpost_core::route::{Candidate, Costs, Criteria, Router, Subset};
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

/// How often the state is refreshed. A late refresh shows the limiter that the process was paused.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);
/// The shortest interval between two polls of the same target.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The timeout of one poll request.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay between the polls of two targets. It keeps the polls of 230 targets, of about 400 bytes each, below the
/// network limit of an entry host.
const POLL_SPACING: Duration = Duration::from_millis(16);
/// The assumed age of a member that was present when this process started; it is longer than the lifetime of any reservation.
const SETTLED_AGE: Duration = Duration::from_secs(86_400);

/// The state that the selection of targets depends on.
#[derive(Debug)]
pub struct State {
    /// Capacity and account shares.
    pub limiter: Limiter,
    /// Load of the targets and requests of this entry host.
    pub router: Router,
    /// Contents of the prompt caches.
    pub index: Index,
    /// Observed answer lengths.
    pub lengths: Lengths,
    /// Retry budgets.
    pub budget: Budget,
    /// Random number generator of the selection.
    pub rng: SmallRng,
    /// The engines assigned to this entry host.
    targets: BTreeMap<Target, SocketAddr>,
    /// When each other entry host was first seen; `None` for those present at the start of the process.
    first_seen: BTreeMap<Entry, Option<Instant>>,
    /// The members and the configuration version that the assignment was computed from.
    inputs: (BTreeSet<Entry>, u64),
}

/// Owns the state and keeps it up to date.
#[derive(Debug)]
pub struct Limits {
    context: Rc<Context>,
    state: RefCell<State>,
    ready_at: Cell<Instant>,
}

impl Limits {
    /// Returns the state.
    pub fn state(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    /// Returns whether this entry host may use target capacity. After a start or a pause it has to wait until the other
    /// entry hosts know it.
    pub fn is_ready(&self) -> bool {
        self.remaining_wait().is_zero()
    }

    /// Returns how long this entry host has to wait before it may use target capacity.
    pub fn remaining_wait(&self) -> Duration {
        self.refresh();
        let now = self.context.timer().now();
        let wait = self.state.borrow().limiter.wait_left(now);
        wait.max(self.ready_at.get().since(now))
    }

    /// Recomputes the assigned targets and their sharers when the members or the configuration have changed.
    pub fn refresh(&self) {
        let now = self.context.timer().now();
        let others = self.context.component::<Members>().others();
        let others = others.into_iter().map(|member| member.entry).collect::<BTreeSet<_>>();
        let document = self.context.component::<Current>().document();
        let mut state = self.state.borrow_mut();
        state.limiter.tick(now);
        let inputs = (others, document.version);
        if state.inputs == inputs {
            return;
        }
        if state.inputs.1 == 0 && document.version > 0 && state.limiter.parameters().min_sharers > 1 {
            // The targets of the first configuration have to settle like any new target.
            let settled = now + state.limiter.parameters().settling_time;
            self.ready_at.set(self.ready_at.get().max(settled));
        }
        state.record_members(now, &inputs.0, self.context.settings().admission.parameters);
        let own = self.context.settings().entry.name.clone();
        let subset = Subset {
            sharers: self.context.settings().admission.sharers,
        };
        let mut models = BTreeMap::<&Model, Vec<&Target>>::new();
        for (target, item) in document.inventory.iter() {
            if let Role::Engine { model, .. } = &item.role {
                models.entry(model).or_default().push(target);
            }
        }
        let entries = inputs.0.iter().chain([&own]).collect::<Vec<_>>();
        let mut assigned = BTreeMap::new();
        for (model, targets) in models {
            for (target, sharers) in subset.assign(&targets, &entries) {
                if !sharers.contains(&&own) {
                    continue;
                }
                let Some(item) = document.inventory.get(target) else {
                    continue;
                };
                if let Role::Engine { capacity_tokens, .. } = item.role {
                    assigned.insert(target.clone(), item.address);
                    state.limiter.add(now, target, model, capacity_tokens);
                    state.set_sharers(now, target, sharers.into_iter().filter(|entry| **entry != own));
                }
            }
        }
        state.retain_targets(assigned, |target| document.inventory.get(target).is_some());
        state.inputs = inputs;
    }
}

impl State {
    /// Records when the other entry hosts were first seen. Those that are seen soon after the start of this process
    /// count as present before it.
    fn record_members(&mut self, now: Instant, others: &BTreeSet<Entry>, parameters: Parameters) {
        let is_start = now.since_start() < parameters.settling_time;
        for entry in others {
            self.first_seen
                .entry(entry.clone())
                .or_insert((!is_start).then_some(now));
        }
        self.first_seen.retain(|entry, _| others.contains(entry));
    }

    fn set_sharers<'a>(&mut self, now: Instant, target: &Target, others: impl Iterator<Item = &'a Entry>) {
        let age = |entry: &Entry| match self.first_seen.get(entry) {
            Some(Some(since)) => now.since(*since),
            Some(None) | None => SETTLED_AGE,
        };
        let sharers = others.map(|entry| Sharer {
            entry: entry.clone(),
            age: age(entry),
        });
        let sharers = sharers.collect::<Vec<_>>();
        self.limiter.observe(now, target, &sharers);
    }

    /// Drops the targets that this entry host no longer uses.
    fn retain_targets(&mut self, assigned: BTreeMap<Target, SocketAddr>, is_known: impl Fn(&Target) -> bool) {
        for target in self.targets.keys().filter(|target| !assigned.contains_key(*target)) {
            self.limiter.remove(target);
            self.index.forget(target);
        }
        self.router.retain(is_known);
        self.targets = assigned;
    }

    /// Returns the usable candidates, best first.
    pub fn rank<'a>(
        &mut self,
        now: Instant,
        criteria: &Criteria<'_>,
        candidates: Vec<Candidate<'a>>,
    ) -> Vec<&'a Target> {
        self.router.rank(now, criteria, candidates, &self.index, &mut self.rng)
    }

    /// Returns the number of prompt tokens that are not in the cache of a target.
    pub fn uncached(&self, criteria: &Criteria<'_>, target: &Target) -> u64 {
        self.router.uncached(criteria, target, &self.index)
    }

    fn record_load(&mut self, now: Instant, target: &Target, load: &Load) {
        if self.router.has_restarted(target, load) {
            self.index.forget(target);
        }
        self.router.report(now, target, load);
        self.limiter.report(now, target, load);
    }
}

#[distributed_slice(PLUGINS)]
static LIMITS: Plugin = Plugin {
    name: "limits",
    stage: Stage::Processing,
    start,
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    let settings = context.settings();
    let now = context.timer().now();
    // The seeds are the other entry hosts of the deployment. While this entry host does not see them yet, it must not
    // use their shares of the capacity.
    let known = settings
        .peers
        .seeds
        .len()
        .saturating_add(1)
        .min(settings.admission.sharers);
    let parameters = Parameters {
        min_sharers: u32::try_from(known).unwrap_or(u32::MAX),
        ..settings.admission.parameters
    };
    let wait = if known > 1 {
        parameters.growth_delay.max(parameters.settling_time)
    } else {
        Duration::ZERO
    };
    let state = State {
        limiter: Limiter::new(now, parameters),
        router: Router::new(Costs::default()),
        index: Index::default(),
        lengths: Lengths::default(),
        budget: Budget::default(),
        rng: SmallRng::seed_from_u64(rand::random()),
        targets: BTreeMap::new(),
        first_seen: BTreeMap::new(),
        inputs: (BTreeSet::new(), 0),
    };
    let limits = Rc::new(Limits {
        context: Rc::clone(context),
        state: RefCell::new(state),
        ready_at: Cell::new(now + wait),
    });
    context.provide(Rc::clone(&limits));
    let dumped = Rc::clone(&limits);
    context.register_dump("limits", move || dumped.dump());
    tokio::task::spawn_local(refresh_periodically(Rc::clone(&limits)));
    tokio::task::spawn_local(poll_targets(limits));
    Ok(())
}

impl Limits {
    fn dump(&self) -> serde_json::Value {
        let is_ready = self.is_ready();
        let now = self.context.timer().now();
        let state = self.state.borrow();
        let target = |target: &Target| {
            let usage = json!({
                "bound": state.limiter.bound(now, target),
                "held": state.limiter.reserved(target),
                "charged": state.limiter.charged(target),
                "outstanding": state.router.outstanding(target),
            });
            (target.to_string(), usage)
        };
        let targets = state.targets.keys().map(target).collect::<serde_json::Map<_, _>>();
        json!({ "ready": is_ready, "targets": targets, "prefix_blocks": state.index.len() })
    }
}

async fn refresh_periodically(limits: Rc<Limits>) {
    loop {
        limits.refresh();
        limits.context.timer().sleep(REFRESH_INTERVAL).await;
    }
}

/// Polls the targets for load and cache events, with a delay between targets.
async fn poll_targets(limits: Rc<Limits>) {
    let timer = limits.context.timer();
    loop {
        let targets = limits.state().targets.clone();
        let spacing = POLL_SPACING * u32::try_from(targets.len()).unwrap_or(u32::MAX);
        for (target, address) in targets {
            let limits = Rc::clone(&limits);
            tokio::task::spawn_local(async move { poll_load(&limits, &target, address).await });
            timer.sleep(POLL_SPACING).await;
        }
        timer.sleep(MIN_POLL_INTERVAL.saturating_sub(spacing)).await;
    }
}

async fn poll_load(limits: &Limits, target: &Target, address: SocketAddr) {
    let timer = limits.context.timer();
    let request = client::request(Method::GET, "/v1/load");
    let Ok((status, body)) = client::exchange(timer, POLL_TIMEOUT, address, request).await else {
        return;
    };
    // A target that returns 503 to a load request accepts no work either.
    let leaving = status == StatusCode::SERVICE_UNAVAILABLE;
    limits
        .context
        .component::<Leaving>()
        .record(target, Source::Target, leaving);
    if let (true, Ok(load)) = (status.is_success(), client::decode::<Load>(address, &body)) {
        limits.state().record_load(timer.now(), target, &load);
    }
    poll_cache_events(limits, target, address).await;
}

async fn poll_cache_events(limits: &Limits, target: &Target, address: SocketAddr) {
    let timer = limits.context.timer();
    let from = limits.state().index.next(target);
    let request = client::request(Method::GET, format!("/v1/cache-events?from={from}"));
    let Ok((StatusCode::OK, body)) = client::exchange(timer, POLL_TIMEOUT, address, request).await else {
        return;
    };
    let mut state = limits.state();
    for line in body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
        match client::decode::<prefix::Event>(address, line) {
            Ok(event) => state.index.observe(timer.now(), target, &event),
            Err(error) => log::debug!("cannot decode a cache event of target {target}: {error}"),
        }
    }
}
