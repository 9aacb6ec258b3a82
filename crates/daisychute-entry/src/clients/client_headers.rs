//! Request headers that identify the tenant, the class and the idempotency key.

use actix_http::Request;
use actix_http::header::HeaderMap;
use daisychute_core::{Class, ClassName, Configuration, Tenant, TenantName};

use super::ClientError;

const AUTHORIZATION: &str = "authorization";
const BEARER: &str = "Bearer ";
const TENANT: &str = "x-daisychute-tenant";
const CLASS: &str = "x-daisychute-class";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Values of the request headers that the entry evaluates; `None` for absent headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClientHeaders {
    /// Bearer token of the `Authorization` header.
    pub token: Option<String>,
    /// Tenant name, accepted without authentication for tenants that have no token.
    pub tenant: Option<TenantName>,
    /// Class that the client asks for.
    pub class: Option<ClassName>,
    /// Idempotency key, 1 to 255 bytes.
    pub key: Option<String>,
}

impl TryFrom<&Request> for ClientHeaders {
    type Error = ClientError;

    fn try_from(req: &Request) -> Result<Self, ClientError> {
        let headers = req.head().headers();
        let token = text_header(headers, AUTHORIZATION)?;
        let key = text_header(headers, IDEMPOTENCY_KEY)?;
        if key.is_some_and(|it| it.is_empty() || it.len() > MAX_KEY_BYTES) {
            return Err(ClientError::BadHeader { header: IDEMPOTENCY_KEY, source: None });
        }
        Ok(Self {
            token: token.and_then(|it| it.strip_prefix(BEARER)).map(str::to_owned),
            tenant: name_header(headers, TENANT)?,
            class: name_header(headers, CLASS)?,
            key: key.map(str::to_owned),
        })
    }
}

fn text_header<'a>(
    headers: &'a HeaderMap,
    header: &'static str,
) -> Result<Option<&'a str>, ClientError> {
    let Some(value) = headers.get(header) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| ClientError::BadHeader { header, source: None })
}

fn name_header<'a, N>(
    headers: &'a HeaderMap,
    header: &'static str,
) -> Result<Option<N>, ClientError>
where
    N: TryFrom<&'a str, Error = daisychute_core::NameError>,
{
    let Some(raw) = text_header(headers, header)? else { return Ok(None) };
    N::try_from(raw).map(Some).map_err(|it| ClientError::BadHeader { header, source: Some(it) })
}

impl ClientHeaders {
    /// Returns the tenant with the request's token, or the named tenant if that tenant has no token.
    ///
    /// # Errors
    ///
    /// No tenant of the configuration matches.
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

    /// Returns the class of the request: the one in its header, else the route's if the tenant may use it, else the
    /// tenant's default.
    ///
    /// # Errors
    ///
    /// The tenant may not use the class in the header, or the configuration doesn't define the class.
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
