//! Validation rules for the values of keys.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::ClassName;

use crate::hint::Accepted;
use crate::{BaseUrl, ByteSize};

/// Validates the text of a value and converts it into a checked type.
pub(crate) trait Rule {
    /// Type of a checked value.
    type Value;
    /// Whether error messages must mask a rejected value.
    const SECRET: bool = false;

    /// Returns the checked value, or `None` if `raw` is invalid.
    fn check(&self, raw: &str) -> Option<Self::Value>;

    /// Describes the valid values, for error messages.
    fn accepted(&self) -> Accepted;
}

/// Accepts a name of type `T`.
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

/// Accepts a comma-separated list of at least one name of type `T`.
pub(crate) struct Names<T>(PhantomData<T>);

impl<T> Names<T> {
    pub(crate) const fn new() -> Self {
        Self(PhantomData)
    }
}

impl<T: for<'a> TryFrom<&'a str>> Rule for Names<T> {
    type Value = Vec<T>;

    fn check(&self, raw: &str) -> Option<Vec<T>> {
        let names: Option<Vec<T>> = split_list(raw).map(|it| T::try_from(it).ok()).collect();
        names.filter(|it| !it.is_empty())
    }

    fn accepted(&self) -> Accepted {
        Accepted::Names
    }
}

/// Accepts a bearer token. Error messages never show its value.
pub(crate) struct Token;

impl Token {
    /// Maximum length of a token in bytes.
    const MAX_LEN: usize = 256;
}

impl Rule for Token {
    type Value = String;
    const SECRET: bool = true;

    fn check(&self, raw: &str) -> Option<String> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-._~+/=".contains(c);
        let accepted = (1..=Self::MAX_LEN).contains(&raw.len()) && raw.chars().all(is_allowed);
        accepted.then(|| raw.to_owned())
    }

    fn accepted(&self) -> Accepted {
        Accepted::Token
    }
}

/// Accepts a comma-separated list of paths. A path may be followed by a class that overrides the service's default
/// class.
pub(crate) struct RoutePaths;

impl RoutePaths {
    /// Maximum length of a path in bytes.
    const MAX_LEN: usize = 256;

    fn parse_route(item: &str) -> Option<(String, Option<ClassName>)> {
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
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "/-._~%!$&'()*+:@=".contains(c);
        raw.starts_with('/') && raw.len() <= Self::MAX_LEN && raw.chars().all(is_allowed)
    }
}

impl Rule for RoutePaths {
    type Value = Vec<(String, Option<ClassName>)>;

    fn check(&self, raw: &str) -> Option<Self::Value> {
        split_list(raw).map(Self::parse_route).collect()
    }

    fn accepted(&self) -> Accepted {
        Accepted::RoutePaths
    }
}

/// Accepts a finite number greater than zero.
pub(crate) struct PositiveNumber;

impl Rule for PositiveNumber {
    type Value = f64;

    fn check(&self, raw: &str) -> Option<f64> {
        let number: f64 = raw.parse().ok()?;
        (number.is_finite() && number > 0.0).then_some(number)
    }

    fn accepted(&self) -> Accepted {
        Accepted::PositiveNumber
    }
}

/// Accepts an IP address with a port.
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

/// Accepts a comma-separated list of IP addresses with ports. The list may be empty.
pub(crate) struct Addresses;

impl Rule for Addresses {
    type Value = Vec<SocketAddr>;

    fn check(&self, raw: &str) -> Option<Vec<SocketAddr>> {
        split_list(raw).map(|it| it.parse().ok()).collect()
    }

    fn accepted(&self) -> Accepted {
        Accepted::Addresses
    }
}

/// Splits a comma-separated list and trims its items. Empty text yields no items.
pub(crate) fn split_list(raw: &str) -> impl Iterator<Item = &str> {
    let list = raw.trim();
    list.split(',').map(str::trim).filter(move |_| !list.is_empty())
}

/// Accepts an `http://` base URL.
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

/// Accepts a duration from `min` to `max`, inclusive.
pub(crate) struct DurationRange {
    pub(crate) min: Duration,
    pub(crate) max: Duration,
}

impl Rule for DurationRange {
    type Value = Duration;

    fn check(&self, raw: &str) -> Option<Duration> {
        let duration = humantime::parse_duration(raw).ok()?;
        (self.min..=self.max).contains(&duration).then_some(duration)
    }

    fn accepted(&self) -> Accepted {
        Accepted::Duration { min: self.min, max: self.max }
    }
}

/// Accepts a size from `min` to `max`, inclusive.
pub(crate) struct SizeRange {
    pub(crate) min: ByteSize,
    pub(crate) max: ByteSize,
}

impl Rule for SizeRange {
    type Value = ByteSize;

    fn check(&self, raw: &str) -> Option<ByteSize> {
        let size: ByteSize = raw.parse().ok()?;
        (self.min..=self.max).contains(&size).then_some(size)
    }

    fn accepted(&self) -> Accepted {
        Accepted::Size { min: self.min, max: self.max }
    }
}

/// Accepts a whole number from `min` to `max`, inclusive.
pub(crate) struct CountRange {
    pub(crate) min: u32,
    pub(crate) max: u32,
}

impl Rule for CountRange {
    type Value = u32;

    fn check(&self, raw: &str) -> Option<u32> {
        let count: u32 = raw.parse().ok()?;
        (self.min..=self.max).contains(&count).then_some(count)
    }

    fn accepted(&self) -> Accepted {
        Accepted::Count { min: self.min.into(), max: self.max.into() }
    }
}

/// Accepts any whole number that fits into `u64`.
pub(crate) struct Integer;

impl Rule for Integer {
    type Value = u64;

    fn check(&self, raw: &str) -> Option<u64> {
        raw.parse().ok()
    }

    fn accepted(&self) -> Accepted {
        Accepted::Count { min: 0, max: u64::MAX }
    }
}

/// Accepts one of these words and converts it into the value beside it.
pub(crate) struct OneOf<T: 'static>(pub(crate) &'static [(&'static str, T)]);

impl<T: Copy> Rule for OneOf<T> {
    type Value = T;

    fn check(&self, raw: &str) -> Option<T> {
        self.0.iter().find(|(word, _)| *word == raw).map(|(_, value)| *value)
    }

    fn accepted(&self) -> Accepted {
        Accepted::OneOf(self.0.iter().map(|(word, _)| *word).collect())
    }
}

/// Accepts `true` and `false`, in any letter case.
pub(crate) struct Flag;

impl Rule for Flag {
    type Value = bool;

    fn check(&self, raw: &str) -> Option<bool> {
        raw.to_ascii_lowercase().parse().ok()
    }

    fn accepted(&self) -> Accepted {
        Accepted::OneOf(vec!["true", "false"])
    }
}

/// Accepts a comma-separated list of these words and converts each into the value beside it. The list may be empty.
pub(crate) struct AnyOf<T: 'static>(pub(crate) &'static [(&'static str, T)]);

impl<T: Copy> Rule for AnyOf<T> {
    type Value = Vec<T>;

    fn check(&self, raw: &str) -> Option<Vec<T>> {
        split_list(raw).map(|it| OneOf(self.0).check(it)).collect()
    }

    fn accepted(&self) -> Accepted {
        Accepted::AnyOf(self.0.iter().map(|(word, _)| *word).collect())
    }
}
