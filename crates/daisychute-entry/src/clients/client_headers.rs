//! Who calls, in which class, with which key.

use actix_http::Request;
use actix_http::header::HeaderMap;
use daisychute_core::{Class, ClassName, Configuration, Tenant, TenantName};

use super::ClientError;

const AUTHORIZATION: &str = "authorization";
const BEARER: &str = "Bearer ";
const TENANT: &str = "x-daisychute-tenant";
const CLASS: &str = "x-daisychute-class";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The longest idempotency key, in bytes.
const MAX_KEY_LEN: usize = 255;

/// What the headers of a request say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClientHeaders {
    /// The bearer token.
    pub token: Option<String>,
    /// The tenant, for listeners that trust their callers.
    pub tenant: Option<TenantName>,
    /// The class.
    pub class: Option<ClassName>,
    /// The idempotency key.
    pub key: Option<String>,
}

impl TryFrom<&Request> for ClientHeaders {
    type Error = ClientError;

    fn try_from(req: &Request) -> Result<Self, ClientError> {
        let headers = req.head().headers();
        let token = text(headers, AUTHORIZATION)?;
        let key = text(headers, IDEMPOTENCY_KEY)?;
        if key.is_some_and(|it| it.is_empty() || it.len() > MAX_KEY_LEN) {
            return Err(ClientError::BadHeader { header: IDEMPOTENCY_KEY, source: None });
        }
        Ok(Self {
            token: token.and_then(|it| it.strip_prefix(BEARER)).map(str::to_owned),
            tenant: name(headers, TENANT)?,
            class: name(headers, CLASS)?,
            key: key.map(str::to_owned),
        })
    }
}

fn text<'a>(headers: &'a HeaderMap, header: &'static str) -> Result<Option<&'a str>, ClientError> {
    let Some(value) = headers.get(header) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| ClientError::BadHeader { header, source: None })
}

fn name<'a, N>(headers: &'a HeaderMap, header: &'static str) -> Result<Option<N>, ClientError>
where
    N: TryFrom<&'a str, Error = daisychute_core::NameError>,
{
    let Some(raw) = text(headers, header)? else { return Ok(None) };
    N::try_from(raw).map(Some).map_err(|it| ClientError::BadHeader { header, source: Some(it) })
}

impl ClientHeaders {
    /// The tenant that calls: by its token, or by name where it has none.
    ///
    /// # Errors
    ///
    /// No tenant of the configuration fits.
    pub fn tenant<'a>(&self, cfg: &'a Configuration) -> Result<&'a Tenant, ClientError> {
        let by_token = self
            .token
            .as_ref()
            .and_then(|token| cfg.tenants.values().find(|it| it.token.as_ref() == Some(token)));
        let by_name = || {
            self.tenant.as_ref().and_then(|it| cfg.tenants.get(it)).filter(|it| it.token.is_none())
        };
        by_token.or_else(by_name).ok_or(ClientError::UnknownTenant)
    }

    /// The class of the request: the one that it names, else the route's, else the tenant's default.
    ///
    /// # Errors
    ///
    /// The tenant may not use it.
    pub fn class<'a>(
        &self,
        cfg: &'a Configuration,
        tenant: &Tenant,
        route: Option<&ClassName>,
    ) -> Result<&'a Class, ClientError> {
        let name = match (&self.class, route) {
            (Some(named), _) if !tenant.may_use(named) => {
                return Err(ClientError::ClassNotAllowed(named.clone()));
            }
            (Some(named), _) => named,
            (None, Some(route)) if tenant.may_use(route) => route,
            (None, _) => &tenant.default_class,
        };
        cfg.classes.get(name).ok_or_else(|| ClientError::ClassNotAllowed(name.clone()))
    }
}
