//! Counts, rates and ordering numbers.

use std::fmt;
use std::num::ParseIntError;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The reason a number was refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the {kind} {text:?} is not a whole number; write digits only ({source})")]
pub struct NumberError {
    kind: &'static str,
    text: String,
    source: ParseIntError,
}

macro_rules! number {
    ($(#[$doc:meta] $name:ident, $kind:literal;)*) => {$(
        #[$doc]
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The minimum value.
            pub const ZERO: Self = Self(0);

            /// Returns the value plus one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl FromStr for $name {
            type Err = NumberError;

            fn from_str(text: &str) -> Result<Self, NumberError> {
                text.parse()
                    .map(Self)
                    .map_err(|source| NumberError { kind: $kind, text: text.to_owned(), source })
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

number! {
    /// A size in bytes.
    ByteCount, "byte count";
    /// Orders the issuers of endpoint orders; a larger number supersedes a smaller number.
    FencingNumber, "fencing number";
    /// Counts the starts of an endpoint; distinguishes a restarted endpoint from its earlier start.
    Incarnation, "incarnation";
    /// The term of a leader of the replicated log.
    LeaderTerm, "leader term";
    /// Counts the membership leases granted to an instance; the number grows with each rejoin.
    LeaseEpoch, "lease epoch";
    /// A position in the replicated log; the first entry has index 1.
    LogIndex, "log index";
    /// The revision of a configuration object; 0 means that the object does not exist.
    ObjectRevision, "object revision";
    /// The start time of an endpoint by its own clock, in milliseconds since 1970; 0 if not reported.
    StartTime, "start time";
    /// A number of tokens of prompt, answer or engine memory.
    TokenCount, "token count";
    /// A rate in tokens per second.
    TokenRate, "token rate";
}

macro_rules! impl_arithmetic {
    ($($name:ident)*) => {$(
        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0 + other.0)
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                self.0 += other.0;
            }
        }

        impl Sub for $name {
            type Output = Self;

            /// Subtracts `other`.
            ///
            /// # Panics
            ///
            /// Panics in every build profile if the result would be negative. A negative count
            /// means that an amount was released twice, and continuing would grant the same
            /// memory twice.
            fn sub(self, other: Self) -> Self {
                Self(self.0.checked_sub(other.0).expect("count underflow: more released than held"))
            }
        }

        impl SubAssign for $name {
            fn sub_assign(&mut self, other: Self) {
                *self = *self - other;
            }
        }

        impl std::iter::Sum for $name {
            fn sum<I: Iterator<Item = Self>>(items: I) -> Self {
                items.fold(Self::ZERO, Add::add)
            }
        }
    )*};
}

impl_arithmetic!(ByteCount TokenCount);
