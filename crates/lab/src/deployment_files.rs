//! The files of an example deployment, moved to free loopback addresses.

use std::fmt::Display;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::Path;
use std::str::FromStr;

use hawthornpost_core::config::Document;
use hawthornpost_core::id::Account;
use hawthornpost_core::settings::File;

/// The second numbers of the loopback networks that are tried.
const NETWORKS: std::ops::RangeInclusive<u8> = 128..=250;

/// The settings of one entry host.
#[derive(Clone, Debug)]
pub(crate) struct EntryFile {
    /// The name of the entry host.
    pub(crate) name: String,
    /// The address for callers.
    pub(crate) listen: SocketAddr,
    /// The settings as text.
    pub(crate) text: String,
}

/// Register, rules and settings.
#[derive(Clone, Debug)]
pub(crate) struct Files {
    /// The register and the rules.
    pub(crate) document: Document,
    /// The address of the platform.
    pub(crate) platform: SocketAddr,
    /// The settings of the entry hosts, by name.
    pub(crate) entries: Vec<EntryFile>,
    name: String,
}

/// The texts of the files.
struct Texts {
    assets: String,
    rules: String,
    entries: Vec<String>,
}

impl Files {
    /// Reads the files and moves all addresses to a loopback network in which they are free.
    ///
    /// # Errors
    ///
    /// Fails when a file is missing or malformed or no network is free.
    pub(crate) fn read(name: &str, directory: &Path) -> Result<Self, String> {
        let texts = Texts::read(directory)?;
        let original = Self::parse(name, &texts)?;
        let IpAddr::V4(ip) = original.platform.ip() else {
            return Err("the platform has no IPv4 address".to_owned());
        };
        let [first, second, ..] = ip.octets();
        let from = format!("{first}.{second}.");
        // Runs of other processes begin at another network, so that they seldom try the same one.
        let offset = std::process::id() as usize % NETWORKS.len();
        for network in NETWORKS.cycle().skip(offset).take(NETWORKS.len()) {
            let moved = Self::parse(name, &texts.moved(&from, &format!("{first}.{network}.")))?;
            if moved.addresses().into_iter().all(is_free) {
                return Ok(moved);
            }
        }
        Err("no loopback network is free; end other runs".to_owned())
    }

    /// Returns the key of an account; the examples derive it from the names.
    ///
    /// # Errors
    ///
    /// Fails when the rules hold the hash of another key.
    pub(crate) fn key(&self, account: &Account) -> Result<String, String> {
        let key = format!("example-key-of-{}-{account}", self.name);
        let found = self.document.rules.account_by_key_hash(&blake3::hash(key.as_bytes()));
        match found {
            Some((known, _)) if known == account => Ok(key),
            _ => Err(format!("the key of account {account} is not the one of the examples")),
        }
    }

    fn parse(name: &str, texts: &Texts) -> Result<Self, String> {
        let document = Document::parse(1, &texts.assets, &texts.rules).map_err(|error| error.to_string())?;
        let mut platform = None;
        let mut entries = Vec::new();
        for text in &texts.entries {
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
            platform: platform.ok_or("there are no settings of entry hosts")?,
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

impl Texts {
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

    fn moved(&self, from: &str, to: &str) -> Self {
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
