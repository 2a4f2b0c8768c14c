//! Authentication of callers and operators by API key.

use std::time::Duration;

use hawthornpost_core::id::Account;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;

use crate::configuration::Current;
use crate::error::{Error, Kind, Result};
use crate::kernel::Context;

/// The retry delay for callers of an entry host that has no configuration yet.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The credentials that a route requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// None.
    Public,
    /// The key of a client account in the configuration.
    Account,
    /// The key of an operator in the settings.
    Operator,
}

/// Checks the key of a request and returns the account that it belongs to.
///
/// # Errors
///
/// Fails when the key is missing or not known, and while there is no configuration that holds the keys of accounts.
pub fn check(context: &Context, access: Access, headers: &HeaderMap) -> Result<Option<Account>> {
    match access {
        Access::Public => Ok(None),
        Access::Account => account(context, headers).map(Some),
        Access::Operator => operator(context, headers).map(|()| None),
    }
}

fn account(context: &Context, headers: &HeaderMap) -> Result<Account> {
    let hash = key_hash(headers)?;
    let current = context.component::<Current>();
    if current.version() == 0 {
        return Err(Error::unavailable(
            "this entry host has no configuration yet; ask another one",
            RETRY_AFTER,
        ));
    }
    let document = current.document();
    let (name, _) = document.rules.account_by_key_hash(&hash).ok_or(Kind::Unauthorized)?;
    Ok(name.clone())
}

fn operator(context: &Context, headers: &HeaderMap) -> Result<()> {
    let hash = key_hash(headers)?;
    // All stored hashes are compared, so that the response time does not reveal which one matched.
    let known = context.settings().operators.key_hashes.iter();
    let matches = known.filter(|stored| **stored == hash).count();
    if matches == 0 {
        return Err(Kind::Unauthorized.into());
    }
    Ok(())
}

fn key_hash(headers: &HeaderMap) -> Result<blake3::Hash> {
    let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = value
        .and_then(|text| text.strip_prefix("Bearer "))
        .ok_or(Kind::Unauthorized)?;
    Ok(blake3::hash(key.trim().as_bytes()))
}
