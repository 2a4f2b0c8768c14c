//! The platform, the targets and the entry hosts of a deployment.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hawthornpost_core::inventory::{Fencing, Item, Role};
use hawthornpost_standins::{Handle, engine, platform, service};
use hyper::Method;
use tempfile::TempDir;

use crate::deployment_client::{self, exchange};
use crate::deployment_entry::Entry;
use crate::deployment_files::{EntryFile, Files};
use crate::deployment_plan::Plan;
use crate::path_daemon::config_objects;

/// Minimum length of an answer in tokens.
const MIN_ANSWER: u32 = 200;
/// Maximum length of an answer in tokens.
const MAX_ANSWER: u32 = 400;
/// Latency of a service call.
const SERVICE_LATENCY: Duration = Duration::from_millis(20);
/// Latency of a platform call.
const PLATFORM_LATENCY: Duration = Duration::from_millis(2);
/// Timeout for an entry host to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// All components of a running deployment; dropping the value stops them.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// The platform.
    pub(crate) platform: Handle,
    /// The engines by name.
    pub(crate) engines: Vec<(String, Handle)>,
    /// The instances of the plain services by name.
    pub(crate) services: Vec<(String, Handle)>,
    entries: Mutex<Vec<Entry>>,
    begin: Instant,
    faults: Mutex<Vec<String>>,
    directory: TempDir,
}

impl Fleet {
    /// Starts all components and waits until all entry hosts are ready; fault times are relative to `begin`.
    ///
    /// # Errors
    ///
    /// Fails when a component cannot be started or an entry host does not become ready.
    pub(crate) async fn start(plan: &Plan, files: &Files, begin: Instant) -> Result<Self, String> {
        let failed = |error: io::Error| format!("a component of the deployment cannot be started: {error}");
        let directory = tempfile::tempdir().map_err(failed)?;
        let mut fleet = Self {
            platform: platform::start(files.platform, platform_settings(files)).map_err(failed)?,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Mutex::default(),
            begin,
            faults: Mutex::default(),
            directory,
        };
        for (index, (name, item)) in (plan.seed..).zip(files.document.inventory.iter()) {
            let handle = start_target(item, plan.gap, index).map_err(failed)?;
            match item.role {
                Role::Engine { .. } => fleet.engines.push((name.to_string(), handle)),
                Role::Service { .. } => fleet.services.push((name.to_string(), handle)),
            }
        }
        if let Some(logs) = &plan.logs {
            std::fs::create_dir_all(logs).map_err(failed)?;
        }
        for file in &files.entries {
            let logs = plan.logs.as_deref().unwrap_or(fleet.directory.path());
            let settings = fleet.directory.path().join(format!("{}.ini", file.name));
            std::fs::write(&settings, settings_with_log(file, logs)).map_err(failed)?;
            let mut entry = Entry::new(file.name.clone(), file.listen, plan.daemon.clone(), settings);
            entry.start().map_err(failed)?;
            fleet.entries().push(entry);
        }
        for file in &files.entries {
            fleet.wait_ready(file.listen).await?;
        }
        Ok(fleet)
    }

    /// Returns the entry hosts.
    pub(crate) fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until an entry host is ready.
    ///
    /// # Errors
    ///
    /// Fails when it is not ready in time.
    pub(crate) async fn wait_ready(&self, address: SocketAddr) -> Result<(), String> {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            let request = deployment_client::request(Method::GET, "/readyz", "", "");
            if exchange(address, request, START_TIMEOUT)
                .await
                .is_ok_and(|reply| reply.status.is_success())
            {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(format!(
            "the entry host at {address} is not ready after {START_TIMEOUT:?}"
        ))
    }

    /// Records a fault, so that a violation can be traced to it.
    pub(crate) fn record_fault(&self, what: &str) {
        let line = format!("{:>7} ms  {what}", self.begin.elapsed().as_millis());
        self.faults().push(line);
    }

    /// Returns the recorded faults.
    pub(crate) fn faults(&self) -> MutexGuard<'_, Vec<String>> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the execution count of each action by idempotency key, with an item for each claim.
    pub(crate) fn action_runs(&self) -> Vec<(String, u64)> {
        let lists = self.services.iter().filter_map(|(_, handle)| handle.inspect("actions"));
        let items = lists.flat_map(|list| list.as_array().cloned().unwrap_or_default());
        items
            .map(|item| {
                let key = item["key"].as_str().unwrap_or_default().to_owned();
                (key, item["runs"].as_u64().unwrap_or_default())
            })
            .collect()
    }
}

fn platform_settings(files: &Files) -> platform::Settings {
    platform::Settings {
        objects: config_objects(&files.document),
        latency: PLATFORM_LATENCY,
        ..platform::Settings::default()
    }
}

fn start_target(item: &Item, gap: Duration, seed: u64) -> io::Result<Handle> {
    match &item.role {
        Role::Engine {
            model,
            capacity_tokens,
            fencing,
        } => {
            let mut settings = engine::Settings::new(model.clone(), item.version.clone());
            settings.gap = gap;
            settings.capacity = *capacity_tokens;
            settings.checks_fencing = *fencing == Fencing::Checked;
            settings.min_answer = MIN_ANSWER;
            settings.max_answer = MAX_ANSWER;
            settings.seed = seed;
            engine::start(item.address, settings)
        }
        Role::Service { service, status_lookup } => {
            let mut settings = service::Settings::new(service.as_str());
            settings.version = item.version.to_string();
            settings.latency = SERVICE_LATENCY;
            settings.status_lookup = *status_lookup;
            settings.seed = seed;
            service::start(item.address, settings)
        }
    }
}

fn settings_with_log(file: &EntryFile, directory: &Path) -> String {
    let path = directory.join(format!("{}.log", file.name));
    file.text
        .replacen("[log]\n", &format!("[log]\nfile = {}\n", path.display()), 1)
}
