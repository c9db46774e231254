//! Fields that were added to the end of a message.
//!
//! A daemon of an earlier version ignores bytes after the last field that it knows, and its own
//! messages end there. A new field is therefore the last one of its message, in a [`TrailingField`].
//! A new kind of message is sent only to daemons whose [`ProtocolLevel`] includes it, since a
//! daemon closes a connection on which it receives a message that it cannot decode.

use serde::{Deserialize, Deserializer, Serialize};

/// A field that reads as its default if the message ends before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub(crate) struct TrailingField<T>(pub(crate) T);

impl<'de, T: Deserialize<'de> + Default> Deserialize<'de> for TrailingField<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(Self(T::deserialize(deserializer).unwrap_or_default()))
    }
}

/// The kinds of messages that a daemon understands; each level includes the earlier ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct ProtocolLevel(pub(crate) u32);

impl ProtocolLevel {
    /// Limits of endpoints and permits to send to them.
    pub(crate) const LIMITS: Self = Self(1);

    /// Tunnels to endpoints.
    pub(crate) const TUNNELS: Self = Self(2);

    /// Quarantine cases of parts of prompts.
    pub(crate) const PARTS: Self = Self(3);

    /// Scheduling under load: appointments of refused prompts, second sends of slow requests, and
    /// refusals because of urgency or an account's share.
    pub(crate) const SCHEDULING: Self = Self(4);

    /// The answer of the log's leader to a replica that is not a voter any more.
    pub(crate) const REMOVALS: Self = Self(5);

    /// The level of this version.
    pub(crate) const CURRENT: Self = Self::REMOVALS;
}
