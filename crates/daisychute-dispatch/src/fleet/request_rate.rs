//! Rate of requests that an endpoint takes.

use std::time::Duration;

/// Requests per second that an endpoint takes from all fronts together.
///
/// ```
/// use daisychute_dispatch::RequestRate;
///
/// let rate = RequestRate::try_from(5.4).expect("a rate");
/// assert_eq!(rate.per_second(), 5.4);
/// assert!(RequestRate::try_from(-1.0).is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate {
    /// Requests in a thousand seconds, from [`Self::MIN_MILLI`] to [`Self::MAX_MILLI`].
    milli: u64,
}

/// Why a number is no rate of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestRateError {
    /// It is infinite or no number.
    #[error("it isn't finite")]
    NotFinite,
    /// It is less than zero.
    #[error("it is negative")]
    Negative,
}

impl RequestRate {
    /// Lowest rate, in place of zero and others below it: a request in 20 s tells whether the endpoint still names a limit.
    const MIN_MILLI: u64 = 50;
    /// Highest rate, in place of others above it. No endpoint takes a million requests a second.
    const MAX_MILLI: u64 = 1_000_000_000;

    /// Creates a rate of so many requests in a thousand seconds, or the nearest one that is possible.
    #[must_use]
    pub const fn from_milli(milli: u64) -> Self {
        let milli = if milli < Self::MIN_MILLI { Self::MIN_MILLI } else { milli };
        Self { milli: if milli > Self::MAX_MILLI { Self::MAX_MILLI } else { milli } }
    }

    /// Returns the number of requests in a thousand seconds.
    #[must_use]
    pub const fn as_milli(self) -> u64 {
        self.milli
    }

    /// Returns the number of requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.milli as f64 / 1e3
    }

    /// Returns the time between two requests.
    #[must_use]
    pub fn interval(self) -> Duration {
        Duration::from_secs(1_000).div_f64(self.milli as f64)
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RequestRateError;

    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        if !per_second.is_finite() {
            return Err(RequestRateError::NotFinite);
        }
        if per_second < 0.0 {
            return Err(RequestRateError::Negative);
        }
        // The conversion saturates.
        Ok(Self::from_milli((per_second * 1e3).round() as u64))
    }
}
