//! Textual identifiers, validated when they are parsed or deserialised.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum length of an identifier.
const MAX_ID_BYTES: usize = 128;

/// The reason an identifier was refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IdError {
    /// The text was empty.
    #[error("the {kind} is empty; give 1 to {MAX_ID_BYTES} of the characters A-Z a-z 0-9 . _ : -")]
    Empty {
        /// The identifier type.
        kind: &'static str,
    },
    /// The text was longer than the limit.
    #[error("the {kind} has {length} bytes; shorten it to at most {MAX_ID_BYTES}")]
    TooLong {
        /// The identifier type.
        kind: &'static str,
        /// The length of the text, in bytes.
        length: usize,
    },
    /// The text contained a character outside the accepted set.
    #[error("the {kind} holds {character:?}; use only A-Z a-z 0-9 . _ : -")]
    BadCharacter {
        /// The identifier type.
        kind: &'static str,
        /// The first character outside the set.
        character: char,
    },
}

fn validate(kind: &'static str, text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty { kind });
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong { kind, length: text.len() });
    }
    let is_accepted = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    match text.chars().find(|c| !is_accepted(c)) {
        Some(character) => Err(IdError::BadCharacter { kind, character }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta] $name:ident, $kind:literal;)*) => {$(
        #[$doc]
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                validate($kind, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

text_id! {
    /// Identifies a client account.
    AccountId, "client account id";
    /// Identifies one attempt to run a request on an endpoint; unique for every attempt.
    AttemptId, "attempt id";
    /// Identifies a non-repeatable request; chosen by the caller, unique within its account.
    CallerKey, "caller key";
    /// Identifies a configuration change; chosen by the operator, so that a resend is recognised.
    ChangeId, "change id";
    /// Identifies a data centre.
    DataCentreId, "data centre id";
    /// Identifies an endpoint.
    EndpointId, "endpoint id";
    /// Identifies an instance that runs a daemon.
    InstanceId, "instance id";
    /// Identifies a model.
    ModelId, "model id";
    /// Identifies a part of prompts that several prompts may share.
    PromptPartId, "prompt part id";
    /// Identifies a plain service.
    ServiceName, "service name";
    /// Identifies a shard: the endpoints of a data centre that share one home.
    ShardId, "shard id";
    /// Identifies a team of operators.
    TeamId, "team id";
}
