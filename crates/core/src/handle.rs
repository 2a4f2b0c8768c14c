//! Signed resume handles, which callers present to continue a generation.
//!
//! A handle is text without whitespace, so that it can be sent as a header value: the fields are separated by `~`, and
//! the last field is a keyed `blake3` hash of the others.

use std::fmt;

use crate::error::{Error, Kind, Result};
use crate::id::{Account, Branch, Entry, Request};

/// The format version, which is the first field.
const FORMAT: &str = "h1";
/// The key derivation context, which separates this key from other keys derived from the same secret.
const KEY_CONTEXT: &str = "hawthornpost 2026 resume handle";

/// The contents of a resume handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handle {
    /// The request to resume.
    pub request: Request,
    /// The account that may use the handle.
    pub account: Account,
    /// The branch that the caller reads.
    pub branch: Branch,
    /// The entries that may hold a replica, most likely first.
    pub peers: Vec<Entry>,
}

/// Signs and verifies handles with a key that is shared by all entries.
///
/// ```
/// use hawthornpost_core::handle::{Handle, Key};
/// use hawthornpost_core::id::{Branch, Request};
///
/// let key = Key::new(b"a secret of the settings");
/// let handle = Handle {
///     request: Request::from_random([1; 16]),
///     account: "crews".parse()?,
///     branch: Branch::from_random([2; 16]),
///     peers: vec!["karibib-1".parse()?],
/// };
/// let text = key.sign(&handle);
/// assert_eq!(key.check(&text, &handle.account)?, handle);
/// assert!(key.check(&text, &"others".parse()?).is_err());
/// # Ok::<(), hawthornpost_core::Error>(())
/// ```
#[derive(Clone)]
pub struct Key([u8; blake3::KEY_LEN]);

impl Key {
    /// Derives the key from a secret.
    pub fn new(secret: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret))
    }

    /// Encodes and signs a handle.
    pub fn sign(&self, handle: &Handle) -> String {
        let peers = handle.peers.iter().map(Entry::as_str).collect::<Vec<_>>();
        let body = format!(
            "{FORMAT}~{}~{}~{}~{}",
            handle.request,
            handle.branch,
            handle.account,
            peers.join(",")
        );
        let hash = self.hash(&body);
        format!("{body}~{hash}")
    }

    /// Verifies and decodes a handle that was presented by `account`.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Access`](crate::Category::Access) if the text was not signed with this key or belongs to
    /// another account. Both cases give the same error, so that handles of other accounts cannot be probed.
    pub fn check(&self, text: &str, account: &Account) -> Result<Handle> {
        let invalid = || Error::from(Kind::InvalidHandle);
        let (body, hash) = text.rsplit_once('~').ok_or_else(invalid)?;
        // `blake3::Hash` compares in constant time.
        let is_signed = blake3::Hash::from_hex(hash).is_ok_and(|hash| hash == self.hash(body));
        if !is_signed {
            return Err(invalid());
        }
        let handle = parse(body).ok_or_else(invalid)?;
        if handle.account != *account {
            return Err(invalid());
        }
        Ok(handle)
    }

    fn hash(&self, body: &str) -> blake3::Hash {
        blake3::keyed_hash(&self.0, body.as_bytes())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

fn parse(body: &str) -> Option<Handle> {
    let mut fields = body.split('~');
    if fields.next()? != FORMAT {
        return None;
    }
    let handle = Handle {
        request: fields.next()?.parse().ok()?,
        branch: fields.next()?.parse().ok()?,
        account: fields.next()?.parse().ok()?,
        peers: parse_peers(fields.next()?)?,
    };
    fields.next().is_none().then_some(handle)
}

fn parse_peers(field: &str) -> Option<Vec<Entry>> {
    let names = field.split(',').filter(|name| !name.is_empty());
    names.map(|name| name.parse().ok()).collect()
}
