//! The client of the platform's object API.

mod error;
mod http;
mod settings;
mod watch;

use std::cell::RefCell;
use std::rc::Rc;

use awc::http::Method;
use daisychute_runtime::Clock;
use serde::Deserialize;

use crate::{CallRateLimiter, Metadata, Object, ObjectKind, ObjectList, ResourceVersion};

pub use self::error::{CallError, UnavailableCause};
pub use self::settings::ClientSettings;
pub use self::watch::Watch;

/// The largest object, in bytes.
const MAX_OBJECT_BYTES: usize = 1_048_576;

/// Calls the object API. Clones share the connections and the budget.
///
/// ```no_run
/// # async fn example() -> Result<(), daisychute_store::CallError> {
/// use daisychute_store::{ClientSettings, ObjectClient, ObjectKind};
///
/// let client = ObjectClient::new(ClientSettings::new("http://127.0.0.1:8001"));
/// let plan = client.read(ObjectKind::Plans, "morocco").await?;
/// let replaced = client.update(&plan).await?;
/// # Ok(())
/// # }
/// ```
#[derive(Clone)]
pub struct ObjectClient {
    settings: Rc<ClientSettings>,
    http: awc::Client,
    budget: Rc<RefCell<CallRateLimiter>>,
    clock: Clock,
}

#[derive(Deserialize)]
struct RawList {
    metadata: Metadata,
    items: Vec<Object>,
}

impl ObjectClient {
    /// A client with these settings.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Self {
        let connector = awc::Connector::new().timeout(settings.connect_deadline);
        let http = awc::Client::builder().connector(connector).disable_timeout().finish();
        let budget = Rc::new(RefCell::new(CallRateLimiter::new(settings.budget)));
        Self { settings: Rc::new(settings), http, budget, clock: Clock::start() }
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// [`CallError::NotFound`] where there is none.
    pub async fn read(&self, kind: ObjectKind, name: &str) -> Result<Object, CallError> {
        let body = self.call(Method::GET, &format!("{kind}/{name}"), None).await?;
        self.parse(&body)
    }

    /// Lists the objects of a kind whose names begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn list(&self, kind: ObjectKind, prefix: &str) -> Result<ObjectList, CallError> {
        let body = self.call(Method::GET, &format!("{kind}?prefix={prefix}"), None).await?;
        let list: RawList = self.parse(&body)?;
        let version = list.metadata.resource_version.ok_or(CallError::Malformed)?;
        Ok(ObjectList { version, items: list.items })
    }

    /// Creates an object.
    ///
    /// # Errors
    ///
    /// [`CallError::AlreadyExists`] where there is one of that name.
    pub async fn create(&self, object: &Object) -> Result<Object, CallError> {
        let body = self.call(Method::POST, object.kind.as_str(), Some(object)).await?;
        self.parse(&body)
    }

    /// Replaces an object if its version is still that in `object`.
    ///
    /// # Errors
    ///
    /// [`CallError::Conflict`] where it is not.
    pub async fn update(&self, object: &Object) -> Result<Object, CallError> {
        let path = format!("{}/{}", object.kind, object.metadata.name);
        let body = self.call(Method::PUT, &path, Some(object)).await?;
        self.parse(&body)
    }

    /// Creates the object where it has no version, and replaces that version otherwise.
    ///
    /// # Errors
    ///
    /// [`CallError::Conflict`] or [`CallError::AlreadyExists`] where another write came first.
    pub async fn write(&self, object: &Object) -> Result<Object, CallError> {
        match object.metadata.resource_version {
            Some(_) => self.update(object).await,
            None => self.create(object).await,
        }
    }

    /// Deletes an object if this is still its version.
    ///
    /// # Errors
    ///
    /// [`CallError::Conflict`] where it is not.
    pub async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        version: &ResourceVersion,
    ) -> Result<(), CallError> {
        let path = format!("{kind}/{name}?resourceVersion={version}");
        self.call(Method::DELETE, &path, None).await?;
        Ok(())
    }

    /// Watches a kind from a version on.
    ///
    /// # Errors
    ///
    /// [`CallError::Expired`] where the platform no longer has the changes since that version.
    pub async fn watch(
        &self,
        kind: ObjectKind,
        version: &ResourceVersion,
    ) -> Result<Watch, CallError> {
        let now = self.clock.now();
        self.budget.borrow_mut().acquire_watch(now)?;
        let place = watch::Place::new(Rc::clone(&self.budget));
        let path = format!("{kind}?watch=1&resourceVersion={version}");
        let response = self.open(Method::GET, &path, None).await?;
        Ok(Watch::new(response, place, self.settings.watch_silence))
    }
}
