//! Client of the platform's object API.

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

/// Maximum size of a serialized object.
const MAX_OBJECT_BYTES: usize = 1_048_576;

/// Calls the object API. Clones share the connections and the rate limiter.
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
    rate_limiter: Rc<RefCell<CallRateLimiter>>,
    clock: Clock,
}

#[derive(Deserialize)]
struct RawList {
    metadata: Metadata,
    items: Vec<Object>,
}

impl ObjectClient {
    /// A client for the platform in `settings`. It opens no connection before the first call.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Self {
        let connector = awc::Connector::new().timeout(settings.connect_timeout);
        let http = awc::Client::builder().connector(connector).disable_timeout().finish();
        let rate_limiter = Rc::new(RefCell::new(CallRateLimiter::new(settings.call_rate)));
        Self { settings: Rc::new(settings), http, rate_limiter, clock: Clock::start() }
    }

    /// Reads one object by kind and name.
    ///
    /// # Errors
    ///
    /// [`CallError::NotFound`] if the object does not exist.
    pub async fn read(&self, kind: ObjectKind, name: &str) -> Result<Object, CallError> {
        let body = self.call(Method::GET, &format!("{kind}/{name}"), None).await?;
        self.parse(&body)
    }

    /// Lists the objects of a kind whose names start with `prefix`.
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

    /// Creates an object and returns it with its version.
    ///
    /// # Errors
    ///
    /// [`CallError::AlreadyExists`] if an object of this kind and name exists.
    pub async fn create(&self, object: &Object) -> Result<Object, CallError> {
        let body = self.call(Method::POST, object.kind.as_str(), Some(object)).await?;
        self.parse(&body)
    }

    /// Replaces an object if the platform still has the version in `object`, and returns it with its new version.
    ///
    /// # Errors
    ///
    /// [`CallError::Conflict`] if the platform has another version.
    pub async fn update(&self, object: &Object) -> Result<Object, CallError> {
        let path = format!("{}/{}", object.kind, object.metadata.name);
        let body = self.call(Method::PUT, &path, Some(object)).await?;
        self.parse(&body)
    }

    /// Creates the object if it has no version, and replaces that version otherwise.
    ///
    /// # Errors
    ///
    /// [`CallError::Conflict`] or [`CallError::AlreadyExists`] if another write came first.
    pub async fn write(&self, object: &Object) -> Result<Object, CallError> {
        match object.metadata.resource_version {
            Some(_) => self.update(object).await,
            None => self.create(object).await,
        }
    }

    /// Deletes an object if the platform still has this version of it.
    ///
    /// # Errors
    ///
    /// [`CallError::Conflict`] if the platform has another version.
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

    /// Opens a watch of the changes to all objects of a kind since a version.
    ///
    /// # Errors
    ///
    /// [`CallError::Expired`] if the platform no longer has the changes since that version.
    pub async fn watch(
        &self,
        kind: ObjectKind,
        version: &ResourceVersion,
    ) -> Result<Watch, CallError> {
        let now = self.clock.now();
        self.rate_limiter.borrow_mut().acquire_watch(now)?;
        let slot = watch::WatchSlot::new(Rc::clone(&self.rate_limiter));
        let path = format!("{kind}?watch=1&resourceVersion={version}");
        let response = self.send_request(Method::GET, &path, None).await?;
        Ok(Watch::new(response, slot, self.settings.watch_idle_timeout))
    }
}
