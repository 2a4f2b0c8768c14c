//! Files of an example deployment, with their addresses replaced by free loopback addresses.

use std::fmt::Display;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::Path;
use std::str::FromStr;

use hawthornpost_core::config::Document;
use hawthornpost_core::id::Account;
use hawthornpost_core::settings::File;

/// The second octets of the loopback networks to try.
const LOOPBACK_NETWORKS: std::ops::RangeInclusive<u8> = 128..=250;

/// The settings of one entry host.
#[derive(Clone, Debug)]
pub(crate) struct EntryFile {
    /// The name of the entry host.
    pub(crate) name: String,
    /// The address for callers.
    pub(crate) listen: SocketAddr,
    /// The text of the settings file.
    pub(crate) text: String,
}

/// The inventory, rules and entry host settings of a deployment.
#[derive(Clone, Debug)]
pub(crate) struct Files {
    /// The inventory and the rules.
    pub(crate) document: Document,
    /// The address of the platform.
    pub(crate) platform: SocketAddr,
    /// The settings of the entry hosts, by name.
    pub(crate) entries: Vec<EntryFile>,
    name: String,
}

/// The unparsed contents of the files.
struct Sources {
    assets: String,
    rules: String,
    entries: Vec<String>,
}

impl Files {
    /// Reads the files and moves all addresses to a loopback network in which none is in use.
    ///
    /// # Errors
    ///
    /// Fails when a file is missing or malformed or no network is free.
    pub(crate) fn read(name: &str, directory: &Path) -> Result<Self, String> {
        let sources = Sources::read(directory)?;
        let original = Self::parse(name, &sources)?;
        let IpAddr::V4(ip) = original.platform.ip() else {
            return Err("the platform has no IPv4 address".to_owned());
        };
        let [first, second, ..] = ip.octets();
        let from = format!("{first}.{second}.");
        // Concurrent processes start at different networks, which makes collisions unlikely.
        let offset = std::process::id() as usize % LOOPBACK_NETWORKS.len();
        for network in LOOPBACK_NETWORKS.cycle().skip(offset).take(LOOPBACK_NETWORKS.len()) {
            let files = Self::parse(name, &sources.with_network(&from, &format!("{first}.{network}.")))?;
            if files.addresses().into_iter().all(is_free) {
                return Ok(files);
            }
        }
        Err("every loopback network has an address in use; stop other runs".to_owned())
    }

    /// Returns the key of an account, which the examples derive from the names of deployment and account.
    ///
    /// # Errors
    ///
    /// Fails when the key hash in the rules belongs to another key.
    pub(crate) fn key(&self, account: &Account) -> Result<String, String> {
        let key = format!("example-key-of-{}-{account}", self.name);
        let found = self.document.rules.account_by_key_hash(&blake3::hash(key.as_bytes()));
        match found {
            Some((known, _)) if known == account => Ok(key),
            _ => Err(format!(
                "the key hash of account {account} does not match the example key"
            )),
        }
    }

    fn parse(name: &str, sources: &Sources) -> Result<Self, String> {
        let document = Document::parse(1, &sources.assets, &sources.rules).map_err(|error| error.to_string())?;
        let mut platform = None;
        let mut entries = Vec::new();
        for text in &sources.entries {
            let address = |section, key| value::<SocketAddr>(text, section, key);
            platform = Some(address("platform", "address")?);
            entries.push(EntryFile {
                name: value(text, "entry", "name")?,
                listen: address("entry", "listen")?,
                text: text.clone(),
            });
        }
        entries.sort_by(|left, right| left.name.cmp(&right.name));
        Ok(Self {
            document,
            platform: platform.ok_or("the directory has no settings of entry hosts")?,
            entries,
            name: name.to_owned(),
        })
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let targets = self.document.inventory.iter().map(|(_, item)| item.address);
        let entries = self.entries.iter().map(|entry| entry.listen);
        targets.chain(entries).chain([self.platform]).collect()
    }
}

impl Sources {
    fn read(directory: &Path) -> Result<Self, String> {
        let read = |path: &Path| std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()));
        let files = std::fs::read_dir(directory).map_err(|error| format!("{}: {error}", directory.display()))?;
        let paths = files.filter_map(Result::ok).map(|file| file.path());
        let is_entry = |path: &std::path::PathBuf| path.to_string_lossy().contains("-entry-");
        let entries = paths.filter(is_entry).map(|path| read(&path));
        Ok(Self {
            assets: read(&directory.join("assets.csv"))?,
            rules: read(&directory.join("rules.ini"))?,
            entries: entries.collect::<Result<_, _>>()?,
        })
    }

    fn with_network(&self, from: &str, to: &str) -> Self {
        Self {
            assets: self.assets.replace(from, to),
            rules: self.rules.clone(),
            entries: self.entries.iter().map(|text| text.replace(from, to)).collect(),
        }
    }
}

fn value<T>(text: &str, section: &str, key: &str) -> Result<T, String>
where
    T: FromStr,
    T::Err: Display,
{
    let malformed = |error: hawthornpost_core::Error| error.to_string();
    let file = File::parse(text).map_err(malformed)?;
    let mut section = file.section(section).map_err(malformed)?;
    section.required(key, "a value as in the examples").map_err(malformed)
}

fn is_free(address: SocketAddr) -> bool {
    TcpListener::bind(address).is_ok()
}
