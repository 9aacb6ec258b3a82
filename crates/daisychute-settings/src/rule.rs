//! What a key accepts.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::ClassName;

use crate::hint::Accepted;
use crate::{BaseUrl, ByteSize};

/// What a key accepts, and the checked type that a value becomes.
pub(crate) trait Rule {
    /// The checked type.
    type Value;
    /// Whether a refused value must not be shown.
    const SECRET: bool = false;

    /// The checked value, or none where `raw` is not accepted.
    fn check(&self, raw: &str) -> Option<Self::Value>;

    /// What would be accepted.
    fn accepted(&self) -> Accepted;
}

/// A name of the type `T`.
pub(crate) struct Name<T>(PhantomData<T>);

impl<T> Name<T> {
    pub(crate) const fn new() -> Self {
        Self(PhantomData)
    }
}

impl<T: for<'a> TryFrom<&'a str>> Rule for Name<T> {
    type Value = T;

    fn check(&self, raw: &str) -> Option<T> {
        T::try_from(raw).ok()
    }

    fn accepted(&self) -> Accepted {
        Accepted::Name
    }
}

/// Names of the type `T`, separated by commas; at least one.
pub(crate) struct Names<T>(PhantomData<T>);

impl<T> Names<T> {
    pub(crate) const fn new() -> Self {
        Self(PhantomData)
    }
}

impl<T: for<'a> TryFrom<&'a str>> Rule for Names<T> {
    type Value = Vec<T>;

    fn check(&self, raw: &str) -> Option<Vec<T>> {
        let names: Option<Vec<T>> = items(raw).map(|it| T::try_from(it).ok()).collect();
        names.filter(|it| !it.is_empty())
    }

    fn accepted(&self) -> Accepted {
        Accepted::Names
    }
}

/// A bearer token.
pub(crate) struct Token;

impl Token {
    /// The longest token, in bytes.
    const MAX_LEN: usize = 256;
}

impl Rule for Token {
    type Value = String;
    const SECRET: bool = true;

    fn check(&self, raw: &str) -> Option<String> {
        let holds = |c: char| c.is_ascii_alphanumeric() || "-._~+/=".contains(c);
        let accepted = (1..=Self::MAX_LEN).contains(&raw.len()) && raw.chars().all(holds);
        accepted.then(|| raw.to_owned())
    }

    fn accepted(&self) -> Accepted {
        Accepted::Token
    }
}

/// Paths separated by commas, each followed by its class where it has one of its own.
pub(crate) struct RoutePaths;

impl RoutePaths {
    /// The longest path, in bytes.
    const MAX_LEN: usize = 256;

    fn route(item: &str) -> Option<(String, Option<ClassName>)> {
        let mut words = item.split_whitespace();
        let path = words.next().filter(|it| Self::is_path(it))?;
        let class = words.next().map(|it| ClassName::try_from(it).ok());
        match (class, words.next()) {
            (None, None) => Some((path.to_owned(), None)),
            (Some(Some(class)), None) => Some((path.to_owned(), Some(class))),
            _ => None,
        }
    }

    fn is_path(raw: &str) -> bool {
        let holds = |c: char| c.is_ascii_alphanumeric() || "/-._~%!$&'()*+:@=".contains(c);
        raw.starts_with('/') && raw.len() <= Self::MAX_LEN && raw.chars().all(holds)
    }
}

impl Rule for RoutePaths {
    type Value = Vec<(String, Option<ClassName>)>;

    fn check(&self, raw: &str) -> Option<Self::Value> {
        items(raw).map(Self::route).collect()
    }

    fn accepted(&self) -> Accepted {
        Accepted::RoutePaths
    }
}

/// Tokens a second.
pub(crate) struct Rate;

impl Rule for Rate {
    type Value = f64;

    fn check(&self, raw: &str) -> Option<f64> {
        let rate: f64 = raw.parse().ok()?;
        (rate.is_finite() && rate > 0.0).then_some(rate)
    }

    fn accepted(&self) -> Accepted {
        Accepted::Rate
    }
}

/// An IP address with a port.
pub(crate) struct Address;

impl Rule for Address {
    type Value = SocketAddr;

    fn check(&self, raw: &str) -> Option<SocketAddr> {
        raw.parse().ok()
    }

    fn accepted(&self) -> Accepted {
        Accepted::Address
    }
}

/// IP addresses with ports, separated by commas.
pub(crate) struct Addresses;

impl Rule for Addresses {
    type Value = Vec<SocketAddr>;

    fn check(&self, raw: &str) -> Option<Vec<SocketAddr>> {
        items(raw).map(|it| it.parse().ok()).collect()
    }

    fn accepted(&self) -> Accepted {
        Accepted::Addresses
    }
}

/// The parts of a list, without the spaces around them. An empty list has none.
pub(crate) fn items(raw: &str) -> impl Iterator<Item = &str> {
    let whole = raw.trim();
    whole.split(',').map(str::trim).filter(move |_| !whole.is_empty())
}

/// A base URL.
pub(crate) struct Url;

impl Rule for Url {
    type Value = BaseUrl;

    fn check(&self, raw: &str) -> Option<BaseUrl> {
        BaseUrl::try_from(raw).ok()
    }

    fn accepted(&self) -> Accepted {
        Accepted::Url
    }
}

/// A time between two bounds.
pub(crate) struct Span {
    pub(crate) min: Duration,
    pub(crate) max: Duration,
}

impl Rule for Span {
    type Value = Duration;

    fn check(&self, raw: &str) -> Option<Duration> {
        let span = humantime::parse_duration(raw).ok()?;
        (self.min..=self.max).contains(&span).then_some(span)
    }

    fn accepted(&self) -> Accepted {
        Accepted::Duration { min: self.min, max: self.max }
    }
}

/// A size between two bounds.
pub(crate) struct Size {
    pub(crate) min: ByteSize,
    pub(crate) max: ByteSize,
}

impl Rule for Size {
    type Value = ByteSize;

    fn check(&self, raw: &str) -> Option<ByteSize> {
        let size: ByteSize = raw.parse().ok()?;
        (self.min..=self.max).contains(&size).then_some(size)
    }

    fn accepted(&self) -> Accepted {
        Accepted::Size { min: self.min, max: self.max }
    }
}

/// A whole number between two bounds.
pub(crate) struct Count {
    pub(crate) min: u32,
    pub(crate) max: u32,
}

impl Rule for Count {
    type Value = u32;

    fn check(&self, raw: &str) -> Option<u32> {
        let count: u32 = raw.parse().ok()?;
        (self.min..=self.max).contains(&count).then_some(count)
    }

    fn accepted(&self) -> Accepted {
        Accepted::Count { min: self.min.into(), max: self.max.into() }
    }
}

/// A whole number.
pub(crate) struct Number;

impl Rule for Number {
    type Value = u64;

    fn check(&self, raw: &str) -> Option<u64> {
        raw.parse().ok()
    }

    fn accepted(&self) -> Accepted {
        Accepted::Count { min: 0, max: u64::MAX }
    }
}

/// One of some words, each standing for a value.
pub(crate) struct Choice<T: 'static>(pub(crate) &'static [(&'static str, T)]);

impl<T: Copy> Rule for Choice<T> {
    type Value = T;

    fn check(&self, raw: &str) -> Option<T> {
        self.0.iter().find(|(word, _)| *word == raw).map(|(_, value)| *value)
    }

    fn accepted(&self) -> Accepted {
        Accepted::OneOf(self.0.iter().map(|(word, _)| *word).collect())
    }
}
