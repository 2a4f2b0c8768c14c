//! Routing table: looks up the route and the account of a request.

use std::collections::HashMap;
use std::rc::Rc;

use crate::config::{Account, Config, Engine, Limits, Route};

/// Routing table of one version of the configuration.
///
/// ```
/// use hawthornpost_gateway::config::Config;
/// use hawthornpost_gateway::route::Table;
///
/// let table = Table::new(Config { version: 3, ..Config::default() });
/// assert_eq!(table.version(), 3);
/// assert!(table.find("letters.example", "/drafts/1").is_none());
/// ```
#[derive(Debug, Default)]
pub struct Table {
    version: u64,
    limits: Limits,
    hosts: HashMap<String, HashMap<String, Rc<Route>>>,
    engines: HashMap<String, Option<Engine>>,
    /// The maximum number of connections to a target, by service.
    max_connections: HashMap<String, u32>,
    keys: Option<HashMap<String, Rc<Account>>>,
}

impl Table {
    /// Builds the table.
    pub fn new(config: Config) -> Self {
        let mut hosts = HashMap::<String, HashMap<String, Rc<Route>>>::new();
        for route in config.routes {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Rc::new(route));
        }
        let services = config.services.iter();
        let max_connections = services.filter_map(|service| Some((service.name.clone(), service.max_connections?)));
        let max_connections = max_connections.collect();
        let engines = config.services.into_iter();
        Self {
            version: config.version,
            limits: config.limits,
            hosts,
            engines: engines.map(|service| (service.name, service.engine)).collect(),
            max_connections,
            keys: config.accounts.map(index_keys),
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for client requests.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the route with the longest matching path prefix; `host` may include a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.hosts.get(&name.to_ascii_lowercase())?;
        let slashes = path.rmatch_indices('/');
        slashes.into_iter().find_map(|(at, _)| prefixes.get(&path[..=at]))
    }

    /// Returns the engine properties of a service; `None` for plain services and unknown ones.
    pub fn engine(&self, service: &str) -> Option<Engine> {
        self.engines.get(service).copied().flatten()
    }

    /// Returns how many connections a target of a service accepts from all hosts together, if that is known.
    pub fn max_connections(&self, service: &str) -> Option<u32> {
        self.max_connections.get(service).copied()
    }

    /// Returns the maximum number of connections to a target, by service.
    pub(crate) fn all_max_connections(&self) -> &HashMap<String, u32> {
        &self.max_connections
    }

    /// Returns the service with engines if there is exactly one.
    pub fn only_engine_service(&self) -> Option<&str> {
        let mut services = self.engines.iter().filter(|(_, engine)| engine.is_some());
        let (name, _) = services.next()?;
        services.next().is_none().then_some(name.as_str())
    }

    /// Returns whether requests need a key, except on anonymous routes.
    pub fn needs_key(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the account that owns a key.
    pub fn account(&self, key: &str) -> Option<&Rc<Account>> {
        self.keys.as_ref()?.get(key)
    }
}

fn index_keys(accounts: Vec<Account>) -> HashMap<String, Rc<Account>> {
    let mut keys = HashMap::new();
    for account in accounts {
        let account = Rc::new(account);
        for key in &account.keys {
            keys.insert(key.clone(), Rc::clone(&account));
        }
    }
    keys
}

/// Chooses a service of a route by weight, for a random point between 0 and 1.
pub(crate) fn pick_service(route: &Route, point: f64) -> Option<&str> {
    let total = route.split.iter().map(|share| share.weight.max(0.0)).sum::<f64>();
    let mut remaining = point * total;
    for share in &route.split {
        remaining -= share.weight.max(0.0);
        if remaining < 0.0 {
            return Some(&share.service);
        }
    }
    route
        .split
        .iter()
        .rev()
        .find(|share| share.weight > 0.0)
        .map(|share| share.service.as_str())
}
