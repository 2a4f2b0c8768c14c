//! Runs an example deployment with real daemons, simulated callers and a seeded schedule of faults.
//!
//! The platform, the engines and the services are stand-ins in this process. The callers of the ten accounts stream
//! generations, run actions and do lookups; an oracle checks every answer.

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
use crate::deployment_generation::{self, Request};
use crate::deployment_plan::Plan;
use crate::deployment_report::Report;
use crate::experiment::{EXPERIMENTS, Experiment, Options, Table};

/// A gap is a pause when it exceeds this multiple of the token gap and [`MIN_PAUSE`].
const MIN_PAUSE_GAPS: u32 = 4;
/// Shorter gaps may be scheduling jitter of a busy machine.
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Interval between samples of the memory of the daemons.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Mean interval between two actions of an account.
const MEAN_ACTION_INTERVAL: Duration = Duration::from_millis(400);
/// Mean interval between two lookups of an account.
const MEAN_LOOKUP_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout for the running requests to complete after the callers stop starting new ones.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(120);

#[distributed_slice(EXPERIMENTS)]
static DEPLOYMENT: Experiment = Experiment {
    name: "deployment",
    summary: "an example deployment with real daemons under faults (needs hawthornpostd in the same directory)",
    run,
};

/// State shared by all callers of a run.
struct Workload {
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
        table
            .violations
            .push(format!("the run could not be carried out: {error}"));
    }
    table
}

async fn measure(plan: &Plan, table: &mut Table) -> Result<(), String> {
    let files = Files::read(&plan.deployment, &plan.directory)?;
    let report = Arc::new(Report::new((plan.gap * MIN_PAUSE_GAPS).max(MIN_PAUSE)));
    let fleet = Arc::new(Fleet::start(plan, &files, report.begin()).await?);
    let begin = Instant::now();
    let sampler = tokio::spawn(sample_memory(Arc::clone(&fleet), Arc::clone(&report)));
    let mut callers = start_callers(plan, &files, &report)?;
    deployment_faults::run(&fleet, plan).await;
    tokio::time::sleep_until(begin + plan.time).await;
    let completed = tokio::time::timeout(COMPLETION_TIMEOUT, async {
        while let Some(result) = callers.join_next().await {
            if let Err(error) = result {
                report.record_violation(&format!("a caller task failed: {error}"));
            }
        }
    });
    if completed.await.is_err() {
        report.record_violation(&format!(
            "{} callers are still waiting after {COMPLETION_TIMEOUT:?}",
            callers.len()
        ));
        callers.abort_all();
    }
    sampler.abort();
    report.check_actions(&fleet.action_runs());
    add_rows(table, plan, &fleet, &report, begin.elapsed());
    Ok(())
}

fn add_rows(table: &mut Table, plan: &Plan, fleet: &Fleet, report: &Report, elapsed: Duration) {
    table.push(["deployment".to_owned(), plan.deployment.clone()]);
    table.push(["faults".to_owned(), format!("{:?}, seed {}", plan.faults, plan.seed)]);
    table.push(["engines".to_owned(), fleet.engines.len().to_string()]);
    table.push(["services".to_owned(), fleet.services.len().to_string()]);
    table.push(["time (s)".to_owned(), format!("{:.1}", elapsed.as_secs_f64())]);
    table.push(["faults injected".to_owned(), fleet.faults().len().to_string()]);
    report.add_rows(table);
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
        for line in fleet.faults().iter() {
            eprintln!("fault: {line}");
        }
    }
}

async fn sample_memory(fleet: Arc<Fleet>, report: Arc<Report>) {
    loop {
        for entry in fleet.entries().iter_mut() {
            if !entry.sample() {
                report.record_violation(&format!("the daemon of {} exited on its own", entry.name));
            }
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

fn start_callers(plan: &Plan, files: &Files, report: &Arc<Report>) -> Result<JoinSet<()>, String> {
    let rules = &files.document.rules;
    let services = files
        .document
        .inventory
        .iter()
        .filter_map(|(_, item)| match &item.role {
            Role::Service { service, .. } => Some(service.to_string()),
            Role::Engine { .. } => None,
        });
    let models = rules.models.iter();
    let workload = Arc::new(Workload {
        report: Arc::clone(report),
        models: models.map(|(name, rule)| (name.to_string(), rule.max_tokens)).collect(),
        service: services.last().ok_or("the inventory has no service")?,
        seed: plan.seed,
        end: Instant::now() + plan.time,
    });
    let entries = files.entries.iter().map(|entry| entry.listen).collect::<Vec<_>>();
    let shares = rules.accounts.values().map(|rule| rule.share as usize).sum::<usize>();
    let mut callers = JoinSet::new();
    for (account, rule) in &rules.accounts {
        let key = files.key(account)?;
        let client = Arc::new(Client::new(account.to_string(), key, entries.clone(), plan.patience));
        // Streams are divided by the shares of the accounts; every account gets at least one.
        let streams = (plan.streams * rule.share as usize).div_ceil(shares.max(1));
        for number in 0..streams {
            callers.spawn(Arc::clone(&workload).run_generations(Arc::clone(&client), number));
        }
        callers.spawn(Arc::clone(&workload).run_actions(Arc::clone(&client)));
        callers.spawn(Arc::clone(&workload).run_lookups(client));
    }
    Ok(callers)
}

impl Workload {
    fn rng(&self, account: &str, number: usize) -> SmallRng {
        let hash = blake3::hash(format!("{} {account} {number}", self.seed).as_bytes());
        SmallRng::from_seed(*hash.as_bytes())
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.end
    }

    async fn run_generations(self: Arc<Self>, client: Arc<Client>, number: usize) {
        let mut rng = self.rng(&client.account, number);
        for serial in 0.. {
            // A random delay keeps the callers from starting in lockstep.
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..1000))).await;
            if self.is_over() {
                return;
            }
            let (model, max_tokens) = &self.models[rng.random_range(0..self.models.len())];
            let request = Request {
                model: model.clone(),
                prompt: format!("{} log {number}-{serial} of run {}", client.account, self.seed).repeat(8),
                max_tokens: rng.random_range(150..=400).min(*max_tokens),
            };
            deployment_generation::run(&client, &self.report, &request).await;
        }
    }

    async fn run_actions(self: Arc<Self>, client: Arc<Client>) {
        let mut rng = self.rng(&client.account, usize::MAX);
        for serial in 0.. {
            tokio::time::sleep(random_interval(&mut rng, MEAN_ACTION_INTERVAL)).await;
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

    async fn run_lookups(self: Arc<Self>, client: Arc<Client>) {
        let mut rng = self.rng(&client.account, usize::MAX - 1);
        for serial in 0.. {
            tokio::time::sleep(random_interval(&mut rng, MEAN_LOOKUP_INTERVAL)).await;
            if self.is_over() {
                return;
            }
            let name = format!("{}-{serial}", client.account);
            deployment_action::look_up(&client, &self.report, &self.service, &name).await;
        }
    }
}

fn random_interval(rng: &mut SmallRng, mean: Duration) -> Duration {
    mean.mul_f64(rng.random_range(0.5..1.5))
}
