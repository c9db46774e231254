//! The replicated register: the newest document's text, ordered by revision.

use std::fmt;
use std::io::{Read, Write};
use std::str::FromStr;
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The longest text that is unpacked, in bytes: four times the longest body that operators may
/// send, so that a damaged length cannot exhaust the memory.
const MAX_TEXT_BYTES: u64 = 16 * 1024 * 1024;

/// A document's place in the order that its operators give.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RoutingRevision(pub u64);

impl fmt::Display for RoutingRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RoutingRevision {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The packed text cannot be unpacked.
#[derive(Debug, Error)]
#[error("the kept text of a routing document cannot be unpacked: {0}; replace this replica's disk")]
pub struct TextError(#[from] std::io::Error);

/// A document as its operator sent it, packed.
///
/// The text is kept rather than the decoded document, so that a reader gets back every field
/// that was sent, those that this version does not know included.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingText {
    /// The document's place in the order.
    pub revision: RoutingRevision,
    packed: Arc<[u8]>,
}

impl RoutingText {
    /// Packs a text.
    ///
    /// # Panics
    ///
    /// Never: writing to memory does not fail.
    pub fn pack(revision: RoutingRevision, text: &[u8]) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(text).expect("memory takes every byte");
        let packed = encoder.finish().expect("memory takes every byte");
        Self { revision, packed: packed.into() }
    }

    /// Unpacks the text.
    ///
    /// # Errors
    ///
    /// Returns an error when the packed bytes are damaged.
    pub fn unpack(&self) -> Result<Vec<u8>, TextError> {
        let mut text = Vec::new();
        DeflateDecoder::new(&*self.packed).take(MAX_TEXT_BYTES).read_to_end(&mut text)?;
        Ok(text)
    }

    /// Returns the packed size in bytes.
    pub fn packed_bytes(&self) -> usize {
        self.packed.len()
    }
}

/// What became of a proposed document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisterOutcome {
    /// It is the newest now.
    Accepted,
    /// One with this revision or a higher one was there before; nothing changed.
    Superseded {
        /// The revision held.
        held: RoutingRevision,
    },
}

/// The state machine of the replicated log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingRegister {
    newest: Option<RoutingText>,
}

impl RoutingRegister {
    /// Takes a document in if none with its revision or a higher one is held.
    pub fn apply(&mut self, text: RoutingText) -> RegisterOutcome {
        match self.revision().filter(|held| *held >= text.revision) {
            Some(held) => RegisterOutcome::Superseded { held },
            None => {
                self.newest = Some(text);
                RegisterOutcome::Accepted
            }
        }
    }

    /// Returns the newest document's text.
    pub fn newest(&self) -> Option<&RoutingText> {
        self.newest.as_ref()
    }

    /// Returns the newest document's revision.
    pub fn revision(&self) -> Option<RoutingRevision> {
        self.newest.as_ref().map(|text| text.revision)
    }
}
