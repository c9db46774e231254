//! Defines the commands in the replicated log and the state that they produce.

use oriolepass_routing::{
    DrainCommand, DrainOutcome, DrainRegister, DrainRevision, RegisterOutcome, RoutingRegister,
    RoutingRevision, RoutingText,
};
use serde::{Deserialize, Serialize};

/// Prefix of entries that are not routing documents. A document starts with its revision as a
/// varint, which never has this many continuation bytes. Logs written before other commands existed
/// can therefore still be read.
const COMMAND_TAG: [u8; 10] = [0xff; 10];

/// A command in the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LogCommand {
    /// Puts a routing document in force.
    Document(RoutingText),
    /// Drains or restores a data centre.
    Drain(DrainCommand),
}

impl LogCommand {
    /// Encodes the command for the log.
    pub(crate) fn encode(&self) -> Vec<u8> {
        match self {
            Self::Document(text) => {
                postcard::to_stdvec(text).expect("a document always serialises")
            }
            Self::Drain(_) => {
                let mut bytes = COMMAND_TAG.to_vec();
                bytes.extend(postcard::to_stdvec(self).expect("a command always serialises"));
                bytes
            }
        }
    }

    /// Decodes an entry of the log.
    pub(crate) fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        match bytes.strip_prefix(&COMMAND_TAG) {
            Some(tagged) => postcard::from_bytes(tagged),
            None => postcard::from_bytes(bytes).map(Self::Document),
        }
    }
}

/// The outcome of a command that was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CommandOutcome {
    Document(RegisterOutcome, RoutingRevision),
    Drain(DrainOutcome),
}

/// The revisions of the parts of the state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StateRevision {
    pub(crate) document: Option<RoutingRevision>,
    pub(crate) drains: DrainRevision,
}

/// The state produced by applying the log's entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct ReplicatedState {
    register: RoutingRegister,
    drains: DrainRegister,
}

impl ReplicatedState {
    pub(crate) fn apply(&mut self, command: LogCommand) -> CommandOutcome {
        match command {
            LogCommand::Document(text) => {
                let revision = text.revision;
                CommandOutcome::Document(self.register.apply(text), revision)
            }
            LogCommand::Drain(drain) => CommandOutcome::Drain(self.drains.apply(&drain)),
        }
    }

    pub(crate) fn newest_document(&self) -> Option<&RoutingText> {
        self.register.newest()
    }

    pub(crate) fn drains(&self) -> &DrainRegister {
        &self.drains
    }

    pub(crate) fn revision(&self) -> StateRevision {
        StateRevision { document: self.register.revision(), drains: self.drains.revision() }
    }

    /// Encodes the state for a snapshot.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(&self.register).expect("a state always serialises");
        bytes.extend(postcard::to_stdvec(&self.drains).expect("a state always serialises"));
        bytes
    }

    /// Decodes a snapshot. A snapshot written before drains were replicated ends with the document.
    pub(crate) fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        let (register, rest) = postcard::take_from_bytes(bytes)?;
        let drains =
            if rest.is_empty() { DrainRegister::default() } else { postcard::from_bytes(rest)? };
        Ok(Self { register, drains })
    }
}
