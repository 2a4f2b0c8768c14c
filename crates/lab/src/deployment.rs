//! One of the two example deployments with real daemons, its callers and a seeded schedule of faults.
//!
//! The platform, the engines and the services are stand-ins in this process. The callers of the ten accounts stream
//! generations, run actions and look things up; an oracle checks every answer.

use std::sync::Arc;
use std::time::Duration;

use hawthornpost_core::inventory::Role;
use linkme::distributed_slice;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::runtime::Runtime;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::deployment_action::{self, Action};
use crate::deployment_client::Client;
use crate::deployment_faults;
use crate::deployment_files::Files;
use crate::deployment_fleet::Fleet;
use crate::deployment_generation::{self, Question};
use crate::deployment_plan::Plan;
use crate::deployment_report::Report;
use crate::experiment::{EXPERIMENTS, Experiment, Options, Table};

/// Gaps above this many usual ones count as pauses, if they are not short.
const PAUSE_GAPS: u32 = 4;
/// Shorter gaps are jitter of a busy machine.
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// How often the memory of the daemons is read.
const SAMPLE: Duration = Duration::from_millis(250);
/// The pause between two actions of an account, on average.
const ACTION_PAUSE: Duration = Duration::from_millis(400);
/// The pause between two lookups of an account, on average.
const LOOKUP_PAUSE: Duration = Duration::from_millis(200);
/// The time for the work that is running when the callers begin nothing new.
const SETTLE: Duration = Duration::from_secs(120);

#[distributed_slice(EXPERIMENTS)]
static DEPLOYMENT: Experiment = Experiment {
    name: "deployment",
    summary: "an example deployment with real daemons under faults (needs hawthornpostd beside this program)",
    run,
};

/// What all callers of a run share.
struct Work {
    report: Arc<Report>,
    models: Vec<(String, u32)>,
    service: String,
    seed: u64,
    end: Instant,
}

fn run(options: &Options) -> Table {
    let mut table = Table::new(["measure", "value"]);
    let result = Plan::new(options).and_then(|plan| {
        let runtime = Runtime::new().map_err(|error| error.to_string())?;
        runtime.block_on(measure(&plan, &mut table))
    });
    if let Err(error) = result {
        table.violations.push(format!("the run did not take place: {error}"));
    }
    table
}

async fn measure(plan: &Plan, table: &mut Table) -> Result<(), String> {
    let files = Files::read(&plan.deployment, &plan.directory)?;
    let report = Arc::new(Report::new((plan.gap * PAUSE_GAPS).max(MIN_PAUSE)));
    let fleet = Arc::new(Fleet::start(plan, &files, report.begin()).await?);
    let begin = Instant::now();
    let sampler = tokio::spawn(sample(Arc::clone(&fleet), Arc::clone(&report)));
    let mut callers = start_callers(plan, &files, &report)?;
    deployment_faults::run(&fleet, plan).await;
    tokio::time::sleep_until(begin + plan.time).await;
    let settled = tokio::time::timeout(SETTLE, async {
        while let Some(result) = callers.join_next().await {
            if let Err(error) = result {
                report.violation(&format!("a caller ended: {error}"));
            }
        }
    });
    if settled.await.is_err() {
        report.violation(&format!("{} callers are still waiting after {SETTLE:?}", callers.len()));
        callers.abort_all();
    }
    sampler.abort();
    report.check_actions(&fleet.runs());
    fill(table, plan, &fleet, &report, begin.elapsed());
    Ok(())
}

fn fill(table: &mut Table, plan: &Plan, fleet: &Fleet, report: &Report, elapsed: Duration) {
    table.push(["deployment".to_owned(), plan.deployment.clone()]);
    table.push(["faults".to_owned(), format!("{:?}, seed {}", plan.faults, plan.seed)]);
    table.push(["engines".to_owned(), fleet.engines.len().to_string()]);
    table.push(["services".to_owned(), fleet.services.len().to_string()]);
    table.push(["time (s)".to_owned(), format!("{:.1}", elapsed.as_secs_f64())]);
    table.push(["faults injected".to_owned(), fleet.trace().len().to_string()]);
    report.fill(table);
    for entry in fleet.entries().iter() {
        let cpu = entry.cpu().as_secs_f64();
        let value = format!("{} / {cpu:.2}", entry.peak_bytes / 1024);
        table.push([format!("{}: peak RSS (KB) / processor time (s)", entry.name), value]);
    }
    table.violations = report.violations();
    for note in report.notes() {
        eprintln!("failed: {note}");
    }
    if !table.violations.is_empty() {
        for line in fleet.trace().iter() {
            eprintln!("fault: {line}");
        }
    }
}

async fn sample(fleet: Arc<Fleet>, report: Arc<Report>) {
    loop {
        for entry in fleet.entries().iter_mut() {
            if !entry.sample() {
                report.violation(&format!("the daemon of {} ended by itself", entry.name));
            }
        }
        tokio::time::sleep(SAMPLE).await;
    }
}

fn start_callers(plan: &Plan, files: &Files, report: &Arc<Report>) -> Result<JoinSet<()>, String> {
    let rules = &files.document.rules;
    let instances = files
        .document
        .inventory
        .iter()
        .filter_map(|(_, item)| match &item.role {
            Role::Service { service, .. } => Some(service.to_string()),
            Role::Engine { .. } => None,
        });
    let models = rules.models.iter();
    let work = Arc::new(Work {
        report: Arc::clone(report),
        models: models.map(|(name, rule)| (name.to_string(), rule.max_tokens)).collect(),
        service: instances.last().ok_or("the register has no service")?,
        seed: plan.seed,
        end: Instant::now() + plan.time,
    });
    let entries = files.entries.iter().map(|entry| entry.listen).collect::<Vec<_>>();
    let shares = rules.accounts.values().map(|rule| rule.share as usize).sum::<usize>();
    let mut callers = JoinSet::new();
    for (account, rule) in &rules.accounts {
        let key = files.key(account)?;
        let client = Arc::new(Client::new(account.to_string(), key, entries.clone(), plan.patience));
        // Every account has a caller, the large ones have many.
        let streams = (plan.streams * rule.share as usize).div_ceil(shares.max(1));
        for number in 0..streams {
            callers.spawn(Arc::clone(&work).generate(Arc::clone(&client), number));
        }
        callers.spawn(Arc::clone(&work).act(Arc::clone(&client)));
        callers.spawn(Arc::clone(&work).look_up(client));
    }
    Ok(callers)
}

impl Work {
    fn random(&self, account: &str, number: usize) -> SmallRng {
        let hash = blake3::hash(format!("{} {account} {number}", self.seed).as_bytes());
        SmallRng::from_seed(*hash.as_bytes())
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.end
    }

    async fn generate(self: Arc<Self>, client: Arc<Client>, number: usize) {
        let mut random = self.random(&client.account, number);
        for serial in 0.. {
            // Callers do not start in step.
            tokio::time::sleep(Duration::from_millis(random.random_range(0..1000))).await;
            if self.is_over() {
                return;
            }
            let (model, most) = &self.models[random.random_range(0..self.models.len())];
            let question = Question {
                model: model.clone(),
                prompt: format!("{} log {number}-{serial} of run {}", client.account, self.seed).repeat(8),
                max_tokens: random.random_range(150..=400).min(*most),
            };
            deployment_generation::run(&client, &self.report, &question).await;
        }
    }

    async fn act(self: Arc<Self>, client: Arc<Client>) {
        let mut random = self.random(&client.account, usize::MAX);
        for serial in 0.. {
            tokio::time::sleep(pause(&mut random, ACTION_PAUSE)).await;
            if self.is_over() {
                return;
            }
            let action = Action {
                service: self.service.clone(),
                key: format!("{}-{}-{serial}", client.account, self.seed),
            };
            deployment_action::run(&client, &self.report, &action).await;
        }
    }

    async fn look_up(self: Arc<Self>, client: Arc<Client>) {
        let mut random = self.random(&client.account, usize::MAX - 1);
        for serial in 0.. {
            tokio::time::sleep(pause(&mut random, LOOKUP_PAUSE)).await;
            if self.is_over() {
                return;
            }
            let name = format!("{}-{serial}", client.account);
            deployment_action::look_up(&client, &self.report, &self.service, &name).await;
        }
    }
}

fn pause(random: &mut SmallRng, mean: Duration) -> Duration {
    mean.mul_f64(random.random_range(0.5..1.5))
}
