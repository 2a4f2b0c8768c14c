//! Resume handles that callers keep.
//!
//! A handle is text without spaces, so that it fits into a header: the fields are separated by `~`, and a keyed `blake3`
//! hash of the other fields comes last.

use std::fmt;

use crate::error::{Error, Kind, Result};
use crate::id::{Account, Branch, Entry, Request};

/// The first field; it changes with the format.
const FORMAT: &str = "h1";
/// The purpose of the derived key, so that the same secret can serve other purposes.
const KEY_CONTEXT: &str = "hawthornpost 2026 resume handle";

/// What a handle says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handle {
    /// The request.
    pub request: Request,
    /// The account that may use the handle.
    pub account: Account,
    /// The branch that the caller reads.
    pub branch: Branch,
    /// The entries that may hold a copy, the likeliest first.
    pub peers: Vec<Entry>,
}

/// Signs and checks handles with a key that all entries share.
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

    /// Writes a handle as text.
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

    /// Reads a handle that `account` presents.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Access`](crate::Category::Access) when the text was not signed with this key or belongs
    /// to another account. The two cases are not told apart, so that nobody can test other accounts' handles.
    pub fn check(&self, text: &str, account: &Account) -> Result<Handle> {
        let refused = || Error::from(Kind::InvalidHandle);
        let (body, hash) = text.rsplit_once('~').ok_or_else(refused)?;
        // `blake3::Hash` compares in constant time.
        let signed = blake3::Hash::from_hex(hash).is_ok_and(|hash| hash == self.hash(body));
        if !signed {
            return Err(refused());
        }
        let handle = read(body).ok_or_else(refused)?;
        if handle.account != *account {
            return Err(refused());
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

fn read(body: &str) -> Option<Handle> {
    let mut fields = body.split('~');
    if fields.next()? != FORMAT {
        return None;
    }
    let handle = Handle {
        request: fields.next()?.parse().ok()?,
        branch: fields.next()?.parse().ok()?,
        account: fields.next()?.parse().ok()?,
        peers: read_peers(fields.next()?)?,
    };
    fields.next().is_none().then_some(handle)
}

fn read_peers(field: &str) -> Option<Vec<Entry>> {
    let names = field.split(',').filter(|name| !name.is_empty());
    names.map(|name| name.parse().ok()).collect()
}
