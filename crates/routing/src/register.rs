//! The replicated register, which holds the text of the routing document with the highest revision.

use std::fmt;
use std::io::{Read, Write};
use std::str::FromStr;
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum size of a decompressed text in bytes: four times the largest body that operators may send.
/// The limit prevents damaged compressed data from exhausting the memory.
const MAX_TEXT_BYTES: u64 = 16 * 1024 * 1024;

/// A document's revision, which operators assign and which orders documents.
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

/// The compressed text of a document cannot be decompressed.
#[derive(Debug, Error)]
#[error(
    "the stored text of a routing document cannot be decompressed: {0}; replace this replica's disk"
)]
pub struct TextError(#[from] std::io::Error);

/// The compressed text of a document as its operator sent it.
///
/// The register stores the text instead of the decoded document, so that a reader gets back every
/// field that was sent, including fields that this version does not know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingText {
    /// The document's revision.
    pub revision: RoutingRevision,
    packed: Arc<[u8]>,
}

impl RoutingText {
    /// Compresses a text.
    ///
    /// # Panics
    ///
    /// Does not panic: writing to a `Vec` does not fail.
    pub fn pack(revision: RoutingRevision, text: &[u8]) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(text).expect("writing to a `Vec` does not fail");
        let packed = encoder.finish().expect("writing to a `Vec` does not fail");
        Self { revision, packed: packed.into() }
    }

    /// Decompresses the text.
    ///
    /// # Errors
    ///
    /// Returns an error when the compressed bytes are damaged.
    pub fn unpack(&self) -> Result<Vec<u8>, TextError> {
        let mut text = Vec::new();
        DeflateDecoder::new(&*self.packed).take(MAX_TEXT_BYTES).read_to_end(&mut text)?;
        Ok(text)
    }

    /// Returns the compressed size in bytes.
    pub fn packed_bytes(&self) -> usize {
        self.packed.len()
    }
}

/// The outcome of applying a proposed document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisterOutcome {
    /// The register now holds the document.
    Accepted,
    /// The register already held a document with the same or a higher revision, so nothing changed.
    Superseded {
        /// The revision that the register holds.
        held: RoutingRevision,
    },
}

/// The document register, a state machine of the replicated log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingRegister {
    newest: Option<RoutingText>,
}

impl RoutingRegister {
    /// Stores a document unless the register holds one with the same or a higher revision.
    pub fn apply(&mut self, text: RoutingText) -> RegisterOutcome {
        match self.revision().filter(|held| *held >= text.revision) {
            Some(held) => RegisterOutcome::Superseded { held },
            None => {
                self.newest = Some(text);
                RegisterOutcome::Accepted
            }
        }
    }

    /// Returns the text of the document with the highest revision.
    pub fn newest(&self) -> Option<&RoutingText> {
        self.newest.as_ref()
    }

    /// Returns the highest revision.
    pub fn revision(&self) -> Option<RoutingRevision> {
        self.newest.as_ref().map(|text| text.revision)
    }
}
