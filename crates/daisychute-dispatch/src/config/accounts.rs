//! Client accounts (tenants) and the keys that their requests carry.

use std::sync::Arc;

use daisychute_core::TenantName;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

/// Hash of a client key. Keys themselves are kept nowhere: not in the configuration in force, not in messages between
/// fronts and not in logs.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Returns the hash of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

impl std::fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// What a request says of the account that it belongs to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Credentials {
    /// The request carries no key.
    #[default]
    Missing,
    /// The request carries something that is not one key.
    Malformed,
    /// The hash of the key that the request carries.
    Key(KeyHash),
}

/// Whose request an endpoint is told that it runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum ForwardedIdentity {
    /// The deployment has no accounts: what the client sent is forwarded.
    #[default]
    AsSent,
    /// The key is removed, and the name of the tenant replaces any that the client sent. `None` on a public route
    /// without a known key: then the endpoint is told no name.
    Tenant(Option<TenantName>),
}

/// A client account of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the tenant that owns the account, unique in the configuration.
    pub name: TenantName,
    /// Hashes of the keys with which the tenant's requests are accepted.
    pub keys: Vec<KeyHash>,
    /// Priority of the tenant's requests in place of that of their routes; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Why a list of accounts is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AccountsError {
    /// Two accounts have one name.
    #[error("two accounts are named {0}")]
    DuplicateName(TenantName),
    /// Two accounts have one key, so that the tenant of a request can't be told.
    #[error("accounts {first} and {second} share a key")]
    SharedKey {
        /// Name of the account that comes first in the configuration.
        first: TenantName,
        /// Name of the later account.
        second: TenantName,
    },
}

/// The client accounts of a configuration.
///
/// ```
/// use daisychute_core::TenantName;
/// use daisychute_dispatch::{Account, Accounts, KeyHash};
///
/// let name = TenantName::try_from("acme").unwrap();
/// let account = Account { name, keys: vec![KeyHash::of(b"secret")], priority: None };
/// let accounts = Accounts::try_from(vec![account]).unwrap();
/// assert!(accounts.find(&KeyHash::of(b"secret")).is_some());
/// assert!(accounts.find(&KeyHash::of(b"Secret")).is_none());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Accounts {
    list: Vec<Arc<Account>>,
    // Invariant: contains each key of each account in `list`.
    by_key: FxHashMap<KeyHash, Arc<Account>>,
}

impl TryFrom<Vec<Account>> for Accounts {
    type Error = AccountsError;

    fn try_from(list: Vec<Account>) -> Result<Self, AccountsError> {
        let mut accounts = Self::default();
        let mut names = FxHashSet::default();
        for account in list {
            if !names.insert(account.name.clone()) {
                return Err(AccountsError::DuplicateName(account.name));
            }
            accounts.add(Arc::new(account))?;
        }
        Ok(accounts)
    }
}

impl Accounts {
    fn add(&mut self, account: Arc<Account>) -> Result<(), AccountsError> {
        for key in &account.keys {
            let previous = self.by_key.insert(*key, Arc::clone(&account));
            if let Some(previous) = previous.filter(|it| it.name != account.name) {
                let (first, second) = (previous.name.clone(), account.name.clone());
                return Err(AccountsError::SharedKey { first, second });
            }
        }
        self.list.push(account);
        Ok(())
    }

    /// Returns the account that has this key. Keys are compared by their hashes, so the time that it takes says nothing
    /// about how much of a wrong key is right.
    #[must_use]
    pub fn find(&self, key: &KeyHash) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }

    /// Returns all accounts in configured order.
    pub fn iter(&self) -> impl Iterator<Item = &Account> {
        self.list.iter().map(AsRef::as_ref)
    }

    /// Returns the number of accounts.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.list.len()
    }

    /// Whether there is no account.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}
