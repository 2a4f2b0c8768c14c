//! Choice of the target for a request.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{Account, Model, Service, Target, Version};
use hawthornpost_core::inventory::Item;
use hawthornpost_core::limit::{Cause, Charge, Demand, Refusal};
use hawthornpost_core::prefix::{self, Block};
use hawthornpost_core::route::{Ask, Candidate, prompt_tokens};
use linkme::distributed_slice;

use crate::configuration::Current;
use crate::error::{Error, Result};
use crate::kernel::Context;
use crate::leaving::{Leaving, Source};
use crate::limits::{Limits, State};
use crate::plugin::{PLUGINS, Plugin, Stage};
use crate::rollouts::Rollouts;

/// When a caller should come back after no target was left.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long a target is avoided after an attempt there has failed.
const SUSPECTED_FOR: Duration = Duration::from_secs(5);
/// The network time to a target in another data centre and back.
const OTHER_DATA_CENTRE: Duration = Duration::from_millis(2);
/// The tokens that a charge grows by; its target produces them in a few seconds.
const GROWTH: u64 = 128;

/// What an engine is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The account of the request.
    pub account: &'a Account,
    /// The model.
    pub model: &'a Model,
    /// The version that the request is pinned to.
    pub version: &'a Version,
    /// The prompt.
    pub prompt: &'a str,
    /// The tokens that were generated already and have to be computed again.
    pub resumed_tokens: u32,
    /// The largest number of tokens of the answer.
    pub max_tokens: u32,
    /// The priority from 0 to 9.
    pub priority: u8,
    /// The engines that are not to be chosen again.
    pub tried: &'a [Target],
    /// The engine whose failure makes this a retry, which is charged to the retry budgets.
    pub failed: Option<&'a Target>,
}

/// Chooses targets within their room.
#[derive(Debug)]
pub struct Routing {
    context: Rc<Context>,
    /// The calls that this daemon has at each instance of a plain service.
    calls: Rc<RefCell<BTreeMap<Target, usize>>>,
}

/// A chosen target; dropping it gives the room back.
#[derive(Debug)]
pub struct Choice {
    /// The name of the target.
    pub target: Target,
    /// The address of the target.
    pub address: SocketAddr,
    context: Rc<Context>,
    work: Work,
}

/// What a choice has to give back.
#[derive(Debug)]
enum Work {
    Generation {
        charge: Charge,
        account: Account,
        model: Model,
        blocks: Vec<Block>,
        /// The tokens of the prompt that the engine has to compute before the first token.
        uncached: u64,
        first_token: bool,
        /// The tokens of the answer, with those of earlier attempts.
        length: u64,
    },
    Call(Rc<RefCell<BTreeMap<Target, usize>>>),
}

impl Routing {
    /// Chooses an engine and charges the request to it.
    ///
    /// # Errors
    ///
    /// Fails with a time to retry when no engine of the version has room, when the account's share is used, and when a
    /// further attempt would exceed the retry budget.
    pub fn engine(&self, query: &Query<'_>) -> Result<Choice> {
        let now = self.context.timer().now();
        let document = self.context.part::<Current>().document();
        let rollouts = self.context.part::<Rollouts>();
        let limits = self.context.part::<Limits>();
        limits.refresh();
        let mut state = limits.state();
        if let Some(failed) = query.failed {
            state.router.suspect(now, failed, SUSPECTED_FOR);
        }
        let rule = document.rules.accounts.get(query.account);
        let produced = u64::from(query.resumed_tokens);
        let whole = u64::from(query.max_tokens).max(produced + 1);
        let expected = state.lengths.expected(query.account, query.model, whole);
        let demand = Demand {
            account: query.account,
            priority: query.priority.min(rule.map_or(9, |rule| rule.priority)),
            share: rule.map_or(1, |rule| rule.share),
            prompt: prompt_tokens(query.prompt) + produced,
            expected: expected.saturating_sub(produced).max(1),
        };
        let blocks = prefix::blocks(query.prompt);
        let ask = Ask {
            prompt: demand.prompt,
            tokens: demand.tokens(),
            blocks: &blocks,
            priority: demand.priority,
        };
        let engines = document.inventory.engines(query.model, query.version);
        let mut engines = engines
            .filter(|(target, _)| !query.tried.contains(target))
            .collect::<BTreeMap<_, _>>();
        // A request that began at a version stays there; when no target in use is left, the others may finish it.
        let is_in_use = |target: &Target| rollouts.is_in_use(query.model, query.version, target);
        if engines.keys().any(|target| is_in_use(target)) {
            engines.retain(|target, _| is_in_use(target));
        }
        let ranked = self.rank(&mut state, &ask, &engines);
        let mut refusal = None;
        for target in ranked {
            match state.gate.admit(now, target, &demand) {
                Ok(charge) => {
                    match query.failed {
                        Some(failed) => withdraw(&mut state, now, failed, query.account)?,
                        None => state.budget.deposit(now, target, query.account),
                    }
                    let uncached = state.uncached(&ask, target);
                    state.router.started(target, uncached);
                    let work = Work::Generation {
                        charge,
                        account: query.account.clone(),
                        model: query.model.clone(),
                        blocks,
                        uncached,
                        first_token: false,
                        length: produced,
                    };
                    return Ok(self.choice(target, engines[target], work));
                }
                Err(refused) => refusal = Some(shorter(refusal, refused)),
            }
        }
        Err(refused(query, refusal))
    }

    /// Chooses an instance of a plain service, other than those in `tried`.
    ///
    /// # Errors
    ///
    /// Fails with a time to retry when no instance is left, and when a further attempt would exceed the retry budget.
    pub fn instance(&self, service: &Service, tried: &[Target]) -> Result<Choice> {
        let document = self.context.part::<Current>().document();
        let leaving = self.context.part::<Leaving>();
        let limits = self.context.part::<Limits>();
        let mut state = limits.state();
        let account = Account::new(service)?;
        if let Some(failed) = tried.last() {
            let now = self.context.timer().now();
            state.router.suspect(now, failed, SUSPECTED_FOR);
            withdraw(&mut state, now, failed, &account)?;
        }
        let load = |name: &Target| self.calls.borrow().get(name).copied().unwrap_or(0);
        let chosen = document
            .inventory
            .instances(service)
            .filter(|(name, _)| !tried.contains(name) && !leaving.is_marked(name))
            .min_by_key(|(name, _)| load(name));
        let (name, item) =
            chosen.ok_or_else(|| Error::unavailable(format!("no target of {service} is left"), RETRY_AFTER))?;
        if tried.is_empty() {
            state.budget.deposit(self.context.timer().now(), name, &account);
        }
        *self.calls.borrow_mut().entry(name.clone()).or_default() += 1;
        Ok(self.choice(name, item, Work::Call(Rc::clone(&self.calls))))
    }

    fn rank<'a>(&self, state: &mut State, ask: &Ask<'_>, engines: &BTreeMap<&'a Target, &'a Item>) -> Vec<&'a Target> {
        let now = self.context.timer().now();
        let leaving = self.context.part::<Leaving>();
        let own = &self.context.settings().entry.data_centre;
        let candidates = engines.iter().filter(|(target, _)| !leaving.is_marked(target));
        let candidates = candidates.map(|(target, item)| Candidate {
            target,
            distance: if item.data_centre == *own {
                Duration::ZERO
            } else {
                OTHER_DATA_CENTRE
            },
            free: state.gate.free(now, target),
        });
        let candidates = candidates.collect::<Vec<_>>();
        state.rank(now, ask, candidates)
    }

    fn choice(&self, target: &Target, item: &Item, work: Work) -> Choice {
        Choice {
            target: target.clone(),
            address: item.address,
            context: Rc::clone(&self.context),
            work,
        }
    }
}

impl Choice {
    /// Records tokens that the engine has produced. Returns false when the answer has grown beyond the room of the
    /// engine, so that the attempt had better move to another one.
    pub fn produced(&mut self, tokens: u32) -> bool {
        let now = self.context.timer().now();
        let Work::Generation {
            charge,
            account,
            blocks,
            uncached,
            first_token,
            length,
            ..
        } = &mut self.work
        else {
            return true;
        };
        *length += u64::from(tokens);
        let limits = self.context.part::<Limits>();
        let mut state = limits.state();
        state.budget.earn(now, &self.target, account, tokens);
        if !std::mem::replace(first_token, true) {
            state.router.first_token(&self.target, *uncached);
            state.index.expect(now, &self.target, blocks);
        }
        drop(state);
        charge.produce(u64::from(tokens));
        charge.rest() >= GROWTH / 2 || charge.grow(now, GROWTH).is_ok()
    }

    /// Records that the answer is whole; its length tells what to expect of later ones.
    pub fn finished(&self) {
        if let Work::Generation {
            account, model, length, ..
        } = &self.work
        {
            let limits = self.context.part::<Limits>();
            limits.state().lengths.observe(account, model, *length);
        }
    }

    /// Records that the target refuses work because it is leaving.
    pub fn refused_as_leaving(&self) {
        let leaving = self.context.part::<Leaving>();
        leaving.note(&self.target, Source::Target, true);
    }
}

impl Drop for Choice {
    fn drop(&mut self) {
        match &self.work {
            Work::Generation {
                uncached, first_token, ..
            } => {
                let limits = self.context.part::<Limits>();
                let mut state = limits.state();
                if !first_token {
                    state.router.abandoned(&self.target, *uncached);
                }
                state.router.ended(&self.target);
            }
            Work::Call(calls) => {
                if let Some(count) = calls.borrow_mut().get_mut(&self.target) {
                    *count -= 1;
                }
            }
        }
    }
}

/// Charges a retry to the budgets of the failed target and the account.
fn withdraw(state: &mut State, now: Instant, failed: &Target, account: &Account) -> Result<()> {
    if state.budget.withdraw(now, failed, account) {
        return Ok(());
    }
    let detail = format!("an attempt at {failed} failed and too many others did");
    Err(Error::unavailable(detail, RETRY_AFTER))
}

/// Keeps the refusal that a caller can act on soonest.
fn shorter(first: Option<Refusal>, second: Refusal) -> Refusal {
    match first {
        Some(first) if first.retry_after <= second.retry_after => first,
        Some(_) | None => second,
    }
}

fn refused(query: &Query<'_>, refusal: Option<Refusal>) -> Error {
    let (model, version) = (query.model, query.version);
    let Some(refusal) = refusal else {
        return Error::unavailable(format!("no engine of {model} {version} is left"), RETRY_AFTER);
    };
    match refusal.cause {
        Cause::Account => {
            let detail = format!("account {} uses its share of {model}", query.account);
            Error::limited(detail, refusal.retry_after)
        }
        Cause::Target => {
            let detail = format!("all engines of {model} {version} are full");
            Error::unavailable(detail, refusal.retry_after)
        }
        Cause::Settling => Error::settling(refusal.retry_after),
        Cause::TooLarge => {
            let detail = format!("prompt and answer are larger than this entry's room at any engine of {model}");
            Error::unavailable(detail, refusal.retry_after)
        }
    }
}

#[distributed_slice(PLUGINS)]
static ROUTING: Plugin = Plugin {
    name: "routing",
    stage: Stage::Work,
    start,
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    context.provide(Rc::new(Routing {
        context: Rc::clone(context),
        calls: Rc::default(),
    }));
    Ok(())
}
