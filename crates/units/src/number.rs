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
            /// The smallest value.
            pub const ZERO: Self = Self(0);

            /// Returns the following value.
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
    /// Orders the issuers of endpoint orders; a larger number supersedes a smaller one.
    FencingNumber, "fencing number";
    /// Counts the starts of one endpoint, so that a restarted one is told from the old.
    Incarnation, "incarnation";
    /// The term of a leader of the replicated log.
    LeaderTerm, "leader term";
    /// Counts the leases an instance was granted; a rejoined instance has a larger one.
    LeaseEpoch, "lease epoch";
    /// A position in the replicated log; the first entry has 1.
    LogIndex, "log index";
    /// The revision of a configuration object; 0 means that it does not exist.
    ObjectRevision, "object revision";
    /// When an endpoint started, by its own clock, in milliseconds since 1970; 0 where it does not say.
    StartTime, "start time";
    /// A number of tokens, of prompt, answer or engine memory.
    TokenCount, "token count";
    /// Tokens per second.
    TokenRate, "token rate";
}

macro_rules! sums {
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

            /// Panics in every build when the result would be negative: a count below zero
            /// means that something was released twice, and carrying on would hand the same
            /// memory out twice.
            fn sub(self, other: Self) -> Self {
                Self(self.0.checked_sub(other.0).expect("a count went below zero"))
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

sums!(ByteCount TokenCount);
